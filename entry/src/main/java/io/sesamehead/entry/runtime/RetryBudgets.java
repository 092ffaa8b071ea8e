package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.SharedRetryBudget;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** This daemon's part of the retry budget of each service. Confined to the event loop. */
final class RetryBudgets {
    /**
     * Minimum number of daemons assumed to share the retry budget while fewer are known: every deployment has at least
     * this many.
     */
    private static final int MIN_DAEMONS = 12;

    private final EntrySettings settings;
    private final long startedAtMillis;
    private final TargetTable targetTable;
    private final IntSupplier listedDaemons;
    private final DaemonMetrics metrics;
    private final Map<ServiceName, SharedRetryBudget> budgets = new HashMap<>();

    RetryBudgets(
            EntrySettings settings,
            long startedAtMillis,
            TargetTable targetTable,
            IntSupplier listedDaemons,
            DaemonMetrics metrics) {
        this.settings = settings;
        this.startedAtMillis = startedAtMillis;
        this.targetTable = targetTable;
        this.listedDaemons = listedDaemons;
        this.metrics = metrics;
    }

    /** Records the first attempt of a call. */
    void recordCall(ServiceName service, long nowMillis) {
        budget(service).recordCall(nowMillis);
    }

    /** Takes a retry from the budget if it allows one. */
    boolean tryRetry(ServiceName service, long nowMillis) {
        // Daemons whose reports don't arrive still spend their share of the budget.
        int others = Math.max(targetTable.peerCount(), listedDaemons.getAsInt());
        int daemons = Math.max(MIN_DAEMONS, others + 1);
        boolean allowed = budget(service).tryRetry(nowMillis, daemons);
        if (!allowed) {
            metrics.count("repeats_denied");
        }
        return allowed;
    }

    private SharedRetryBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(
                service,
                name -> new SharedRetryBudget(
                        settings.retryRatio(),
                        settings.extraRetriesPerWindow(),
                        settings.retryWindowMillis(),
                        settings.bootstrap() ? startedAtMillis : startedAtMillis + settings.retryWindowMillis()));
    }
}
