package io.sesamehead.coordination.admission;

import com.google.common.hash.Hashing;
import io.sesamehead.state.RequestId;

/**
 * Expected waits and run times, from the time that recent calls held a slot. Guarded by the lock of
 * {@link AdmissionTable}.
 */
final class DrainEstimator {
    /** Weight of the newest call in the moving mean. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** {@code Retry-After} has whole seconds, so a shorter time cannot be told. */
    private static final long MIN_RETRY_MILLIS = 1_000;

    /** A longer wait would leave slots idle when the load falls. */
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

    /** Expected time that a call of this cost holds a slot; 0 before the first measurement. */
    long runMillis(long tokenCost) {
        return meanTokens > 0 ? Math.round(meanMillis * tokenCost / meanTokens) : 0;
    }

    /** Expected time until a number of slots have become free one after the other; 0 before the first measurement. */
    long waitMillis(long releases) {
        return Math.round(meanMillis * releases / slots);
    }

    /** Spreads callers over as long a time as the queue needs, so that they do not return together. */
    long retryAfterMillis(RequestId request, int waiting) {
        long drainMillis = Math.clamp(waitMillis(waiting), MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
        long hash = Hashing.murmur3_128().hashUnencodedChars(request.value()).asLong();
        return drainMillis + Math.floorMod(hash, drainMillis);
    }
}
