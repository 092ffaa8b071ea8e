package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.IdempotencyRecordCodec;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.RunState;
import java.time.Duration;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Deletes the recorded results of keyed calls after their retention. Claims without a result stay, and so do results that
 * state not-run, because they can become a claim between the list and the delete. Of all lease holders
 * only the one of the first live failure domain does it, because the objects belong to no failure domain.
 */
public final class IdempotencyRecordCleaner implements Runnable {
    /** Interval of the runs; each lists all objects, so they are rare. */
    static final Duration INTERVAL = Duration.ofMinutes(10);

    private static final long RETENTION_MILLIS = Duration.ofHours(24).toMillis();

    private final DaemonTables tables;
    private final PlatformClient platform;
    private final LongSupplier nowMillis;
    private final LongSupplier epochMillis;

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param platform the store
     * @param nowMillis monotonic clock, in milliseconds
     * @param epochMillis wall clock, in milliseconds since 1970
     */
    public IdempotencyRecordCleaner(
            DaemonTables tables, PlatformClient platform, LongSupplier nowMillis, LongSupplier epochMillis) {
        this.tables = tables;
        this.platform = platform;
        this.nowMillis = nowMillis;
        this.epochMillis = epochMillis;
    }

    @Override
    public void run() {
        if (!isResponsible()
                || !(platform.list(ObjectKinds.ORDERS)
                        instanceof StoreResult.Ok<ImmutableList<PlatformObject>>(var objects))) {
            return;
        }
        long deleted = objects.stream()
                .filter(this::isExpired)
                .filter(object -> platform.delete(ObjectKinds.ORDERS, object.name()) instanceof StoreResult.Ok)
                .count();
        Logger.info("order: deleted {} of {} recorded results", deleted, objects.size());
    }

    private boolean isResponsible() {
        long now = nowMillis.getAsLong();
        FailureDomain first = tables.directory().live(now).stream()
                .map(DaemonEntry::failureDomain)
                .min(FailureDomain::compareTo)
                .orElse(tables.failureDomain());
        return first.equals(tables.failureDomain()) && tables.lease().maySend(now);
    }

    private boolean isExpired(PlatformObject object) {
        try {
            return IdempotencyRecordCodec.decode(object.spec())
                    .result()
                    .filter(result -> result.runState() == RunState.RAN)
                    .map(result -> epochMillis.getAsLong() - result.recordedEpochMillis() > RETENTION_MILLIS)
                    .orElse(false);
        } catch (MalformedMessageException e) {
            Logger.warn("order: {} is unreadable and is kept: {}", object.name(), e.getMessage());
            return false;
        }
    }
}
