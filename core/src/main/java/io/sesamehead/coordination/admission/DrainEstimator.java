package io.sesamehead.coordination.admission;

import com.google.common.hash.Hashing;
import io.sesamehead.state.RequestId;

/**
 * Estimates waiting and run times from the time that recent calls held a slot. Guarded by the lock of
 * {@link AdmissionTable}.
 */
final class DrainEstimator {
    /** Weight of the newest call in the moving average. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** Minimum retry time, in milliseconds, because {@code Retry-After} holds whole seconds. */
    private static final long MIN_RETRY_MILLIS = 1_000;

    /** Maximum retry time before jitter, in milliseconds; a longer one would leave slots idle when the load falls. */
    private static final long MAX_RETRY_MILLIS = 60_000;

    private final int slots;
    private double meanMillis;
    private double meanTokens;
    private boolean measured;

    DrainEstimator(int slots) {
        this.slots = slots;
    }

    void recordCompletion(long heldMillis, long tokenCost) {
        meanMillis = measured ? meanMillis + NEWEST_WEIGHT * (heldMillis - meanMillis) : heldMillis;
        meanTokens = measured ? meanTokens + NEWEST_WEIGHT * (tokenCost - meanTokens) : tokenCost;
        measured = true;
    }

    /**
     * Returns the expected time that a call of this cost holds a slot, in milliseconds, or 0 before any call has
     * ended.
     */
    long runMillis(long tokenCost) {
        return meanTokens > 0 ? Math.round(meanMillis * tokenCost / meanTokens) : 0;
    }

    /**
     * Returns the expected time until this many slots have been released, in milliseconds, or 0 before any call has
     * ended.
     */
    long waitMillis(long releases) {
        return Math.round(meanMillis * releases / slots);
    }

    /** Spreads retries over the time that the queue needs to drain, so that callers do not all return at once. */
    long retryAfterMillis(RequestId request, int waiting) {
        long drainMillis = Math.clamp(waitMillis(waiting), MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
        long hash = Hashing.murmur3_128().hashUnencodedChars(request.value()).asLong();
        return drainMillis + Math.floorMod(hash, drainMillis);
    }
}
