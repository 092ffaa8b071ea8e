package io.sesamehead.coordination.request;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.state.AttemptId;
import java.util.OptionalLong;

/**
 * Limits the upstreams that one request can crash. All requests in flight on an upstream that crashes become suspects. A
 * suspect runs only in its daemon's {@link SuspectShare} and where no other suspect runs; its second crash quarantines it. Thread-safe: all state is in one
 * {@link SuspectTable}.
 */
public final class SuspectTracker {
    /** Default length of a quarantine, in milliseconds: longer than callers usually repeat a request. */
    public static final long DEFAULT_QUARANTINE_MILLIS = 600_000;

    private final SuspectTable table;

    /**
     * Creates an empty table.
     *
     * @param quarantineMillis length of a quarantine, and time for which a suspect is remembered, in milliseconds
     */
    public SuspectTracker(long quarantineMillis) {
        this.table = new SuspectTable(quarantineMillis);
    }

    /**
     * Decides whether an attempt may go out to an upstream, and records it as running there if so.
     *
     * @param attempt the attempt
     * @param fingerprint the request's fingerprint
     * @param upstream the upstream
     * @param share upstreams on which suspects of this daemon may run
     * @param nowMillis present time, in milliseconds
     * @return the decision
     */
    public SuspectDecision tryBegin(
            AttemptId attempt, Fingerprint fingerprint, UpstreamId upstream, SuspectShare share, long nowMillis) {
        return table.tryBegin(attempt, fingerprint, upstream, share, nowMillis);
    }

    /**
     * Ends an attempt whose whole answer arrived; its request is no longer a suspect.
     *
     * @param attempt the attempt
     */
    public void recordCompleted(AttemptId attempt) {
        table.recordCompleted(attempt);
    }

    /**
     * Ends an attempt that says nothing about its request, for example one that was cancelled or refused. No effect
     * after a crash or after completion.
     *
     * @param attempt the attempt
     */
    public void recordAbandoned(AttemptId attempt) {
        table.recordAbandoned(attempt);
    }

    /**
     * Records the crash of an upstream: all attempts running there end, and their requests become suspects.
     *
     * @param upstream the upstream
     * @param nowMillis present time, in milliseconds
     * @return crash counts of these requests, for the peers
     */
    public ImmutableMap<Fingerprint, Integer> recordCrash(UpstreamId upstream, long nowMillis) {
        return table.recordCrash(upstream, nowMillis);
    }

    /**
     * Takes a crash count from a peer; the higher count wins.
     *
     * @param fingerprint the request's fingerprint
     * @param crashes upstreams that crashed while they ran the request
     * @param nowMillis present time, in milliseconds
     */
    public void mergeCrashCount(Fingerprint fingerprint, int crashes, long nowMillis) {
        table.mergeCrashCount(fingerprint, crashes, nowMillis);
    }

    /**
     * Returns the rest of a request's quarantine.
     *
     * @param fingerprint the request's fingerprint
     * @param nowMillis present time, in milliseconds
     * @return milliseconds, or empty when the request is not quarantined
     */
    public OptionalLong quarantineRemainingMillis(Fingerprint fingerprint, long nowMillis) {
        return table.quarantineRemainingMillis(fingerprint, nowMillis);
    }
}
