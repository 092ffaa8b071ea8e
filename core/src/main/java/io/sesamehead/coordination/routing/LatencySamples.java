package io.sesamehead.coordination.routing;

import java.util.Arrays;
import java.util.OptionalDouble;

/** The last latencies of one upstream. */
final class LatencySamples {
    private static final int CAPACITY = 32;

    /** Fewer samples than this say too little about an upstream. */
    private static final int MIN_SAMPLES = 8;

    /** Older samples say too little about the present, in milliseconds. */
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
