package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.coordination.request.SuspectTracker;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.daemon.runtime.ServingGroups.ServingGroup;
import io.sesamehead.daemon.transport.EngineClient;
import io.sesamehead.daemon.transport.ProcessState;
import io.sesamehead.state.Incarnation;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/** Finds out whether the engine behind a broken attempt has ended, and then records and announces the suspects. */
final class CrashDetector {
    private static final Duration STATUS_TIMEOUT = Duration.ofMillis(300);

    /** A dying process can break its streams shortly before its address refuses connections. */
    private static final int MAX_CHECKS = 3;

    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final EngineClient engines;
    private final SuspectTracker suspects;
    private final CrashNotifier notifier;
    private final LongSupplier nowMillis;

    /**
     * Creates a detector.
     *
     * @param engines client of the engines
     * @param suspects requests that crash upstreams
     * @param notifier tells the peers of crashes
     * @param nowMillis monotonic clock, in milliseconds
     */
    CrashDetector(EngineClient engines, SuspectTracker suspects, CrashNotifier notifier, LongSupplier nowMillis) {
        this.engines = engines;
        this.suspects = suspects;
        this.notifier = notifier;
        this.nowMillis = nowMillis;
    }

    /**
     * Checks the head of a group on which an attempt broke. Blocks for at most about a second.
     *
     * @param upstream the group as an upstream
     * @param serving the group
     * @return true when the process that ran the attempt has ended
     */
    boolean headEnded(UpstreamId upstream, ServingGroup serving) {
        if (!processEnded(serving)) {
            return false;
        }
        ImmutableMap<Fingerprint, Integer> counts = suspects.recordCrash(upstream, nowMillis.getAsLong());
        if (!counts.isEmpty()) {
            Logger.warn("route: {} crashed with {} requests in flight", upstream, counts.size());
            notifier.send(counts);
        }
        return true;
    }

    private boolean processEnded(ServingGroup serving) {
        Optional<Incarnation> engine = serving.group().head().engine();
        if (engine.isEmpty()) {
            return false;
        }
        for (int check = 0; check < MAX_CHECKS; check++) {
            ProcessState state = engines.processState(serving.headAddress(), engine.get(), STATUS_TIMEOUT);
            if (state != ProcessState.UNKNOWN) {
                return state == ProcessState.ENDED;
            }
            CompletionRunner.pause(CHECK_INTERVAL_MILLIS);
        }
        return false;
    }
}
