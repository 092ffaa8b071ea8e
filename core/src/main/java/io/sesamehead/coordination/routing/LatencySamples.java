package io.sesamehead.coordination.routing;

import java.util.Arrays;
import java.util.OptionalDouble;

/** Sliding window of the most recent latencies of one upstream. */
final class LatencySamples {
    private static final int CAPACITY = 32;

    /** Minimum number of recent samples for a meaningful median. */
    private static final int MIN_SAMPLES = 8;

    /** Maximum age of a sample, in milliseconds; older ones do not represent the current latency. */
    private static final long MAX_AGE_MILLIS = 30_000;

    private final double[] latencies = new double[CAPACITY];
    private final long[] times = new long[CAPACITY];
    private long count;

    void add(double latencyMillis, long nowMillis) {
        int slot = (int) (count % CAPACITY);
        latencies[slot] = latencyMillis;
        times[slot] = nowMillis;
        count++;
    }

    OptionalDouble median(long nowMillis) {
        double[] recent = new double[CAPACITY];
        int used = 0;
        for (int slot = 0; slot < Math.min(count, CAPACITY); slot++) {
            if (nowMillis - times[slot] <= MAX_AGE_MILLIS) {
                recent[used] = latencies[slot];
                used++;
            }
        }
        if (used < MIN_SAMPLES) {
            return OptionalDouble.empty();
        }
        Arrays.sort(recent, 0, used);
        return OptionalDouble.of(recent[(used - 1) / 2]);
    }
}
