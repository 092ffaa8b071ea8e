package io.sesamehead.coordination.lease;

/**
 * Times of the controller lease.
 *
 * @param ttlMillis time to live, above the sum of the other two, in milliseconds
 * @param maxClockDriftMillis largest difference of two monotonic clocks over one ttl, in milliseconds
 * @param longestOrderMillis longest time from sending an order to its effect, in milliseconds
 */
public record LeaseSettings(long ttlMillis, long maxClockDriftMillis, long longestOrderMillis) {
    /** Rejects times that leave the holder no time to send. */
    public LeaseSettings {
        if (maxClockDriftMillis < 0
                || longestOrderMillis < 0
                || ttlMillis <= maxClockDriftMillis + longestOrderMillis) {
            throw new IllegalArgumentException("ttl must be above drift plus longest order: " + ttlMillis + ", "
                    + maxClockDriftMillis + ", " + longestOrderMillis);
        }
    }
}
