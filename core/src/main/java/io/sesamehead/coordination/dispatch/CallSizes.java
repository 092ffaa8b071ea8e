package io.sesamehead.coordination.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Mean number of bytes of a call, request and response together, by pool. Not thread-safe. */
public final class CallSizes {
    /** Size assumed until a call of the pool has ended, in bytes: a prompt of 1,400 tokens and a short response. */
    public static final double DEFAULT_BYTES = 8_192;
    /** Weight of the newest call in the moving mean. */
    private static final double NEWEST_WEIGHT = 0.05;
    /** Number of pools kept. */
    private static final int MAX_POOLS = 256;

    private static final double BYTES_PER_KILOBYTE = 1_024;

    private final Map<TargetPool, Double> meanBytes = new HashMap<>();

    /**
     * Records a call that has ended.
     *
     * @param pool the pool
     * @param bytes bytes of its request body and of its response
     */
    public void record(TargetPool pool, long bytes) {
        if (meanBytes.size() < MAX_POOLS || meanBytes.containsKey(pool)) {
            double mean = meanBytes.getOrDefault(pool, DEFAULT_BYTES);
            meanBytes.put(pool, mean + (bytes - mean) * NEWEST_WEIGHT);
        }
    }

    /**
     * Returns the mean size of a pool's calls.
     *
     * @param pool the pool
     * @return the mean in kilobytes
     */
    public double meanKilobytes(TargetPool pool) {
        return meanBytes.getOrDefault(pool, DEFAULT_BYTES) / BYTES_PER_KILOBYTE;
    }
}
