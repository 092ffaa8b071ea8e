package io.sesamehead.coordination.lease;

/**
 * Timing of the controller lease.
 *
 * @param ttlMillis time to live, greater than the sum of the other two, in milliseconds
 * @param maxClockDriftMillis maximum difference between two monotonic clocks over one TTL, in milliseconds
 * @param longestOrderMillis maximum time from sending an order until it takes effect, in milliseconds
 */
public record LeaseSettings(long ttlMillis, long maxClockDriftMillis, long longestOrderMillis) {
    /**
     * Rejects settings that leave the holder no time to send.
     *
     * @throws IllegalArgumentException if drift or longest order is negative, or the TTL does not exceed their sum
     */
    public LeaseSettings {
        if (maxClockDriftMillis < 0
                || longestOrderMillis < 0
                || ttlMillis <= maxClockDriftMillis + longestOrderMillis) {
            throw new IllegalArgumentException(
                    "lease TTL must exceed clock drift plus longest order; TTL, drift and longest order in ms: "
                            + ttlMillis + ", " + maxClockDriftMillis + ", " + longestOrderMillis);
        }
    }
}
