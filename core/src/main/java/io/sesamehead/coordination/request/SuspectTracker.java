package io.sesamehead.coordination.request;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.state.AttemptId;
import java.util.OptionalLong;

/**
 * Limits the number of upstreams that one request can crash. All requests in flight on a crashing upstream become
 * suspects. A suspect runs only on upstreams of its daemon's {@link SuspectShare} where no other suspect runs; its
 * second crash quarantines it. Thread-safe: all state is in one {@link SuspectTable}.
 */
public final class SuspectTracker {
    /** Default length of a quarantine, in milliseconds: longer than callers usually retry a request. */
    public static final long DEFAULT_QUARANTINE_MILLIS = 600_000;

    private final SuspectTable table;

    /**
     * Creates a tracker without suspects.
     *
     * @param quarantineMillis length of a quarantine, and time for which a suspect is kept, in milliseconds
     */
    public SuspectTracker(long quarantineMillis) {
        this.table = new SuspectTable(quarantineMillis);
    }

    /**
     * Decides whether an attempt may be sent to an upstream and, if so, records it as running there.
     *
     * @param attempt the attempt
     * @param fingerprint the request's fingerprint
     * @param upstream the upstream
     * @param share upstreams on which suspects of this daemon may run
     * @param nowMillis current monotonic time, in milliseconds
     * @return the decision
     */
    public SuspectDecision tryBegin(
            AttemptId attempt, Fingerprint fingerprint, UpstreamId upstream, SuspectShare share, long nowMillis) {
        return table.tryBegin(attempt, fingerprint, upstream, share, nowMillis);
    }

    /**
     * Ends an attempt whose complete answer arrived. Its request is no longer a suspect.
     *
     * @param attempt the attempt
     */
    public void recordCompleted(AttemptId attempt) {
        table.recordCompleted(attempt);
    }

    /**
     * Ends an attempt that gives no evidence about its request, for example because it was cancelled or refused. Has no
     * effect after a crash or completion.
     *
     * @param attempt the attempt
     */
    public void recordAbandoned(AttemptId attempt) {
        table.recordAbandoned(attempt);
    }

    /**
     * Records the crash of an upstream. All attempts running there end, and their requests become suspects.
     *
     * @param upstream the upstream
     * @param nowMillis current monotonic time, in milliseconds
     * @return crash counts of these requests, to be sent to peers
     */
    public ImmutableMap<Fingerprint, Integer> recordCrash(UpstreamId upstream, long nowMillis) {
        return table.recordCrash(upstream, nowMillis);
    }

    /**
     * Merges a crash count from a peer. The higher count wins.
     *
     * @param fingerprint the request's fingerprint
     * @param crashes number of upstreams that crashed while running the request
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void mergeCrashCount(Fingerprint fingerprint, int crashes, long nowMillis) {
        table.mergeCrashCount(fingerprint, crashes, nowMillis);
    }

    /**
     * Returns the remaining time of a request's quarantine.
     *
     * @param fingerprint the request's fingerprint
     * @param nowMillis current monotonic time, in milliseconds
     * @return the remaining time, in milliseconds, or empty if the request is not quarantined
     */
    public OptionalLong quarantineRemainingMillis(Fingerprint fingerprint, long nowMillis) {
        return table.quarantineRemainingMillis(fingerprint, nowMillis);
    }
}
