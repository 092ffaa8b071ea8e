package io.sesamehead.coordination.replica;

import java.util.ArrayDeque;
import java.util.PriorityQueue;

/**
 * Limits loads from the weight store to its rate and to the number that can run concurrently without slowing each other
 * down; more would delay all of them. Not thread-safe.
 */
final class LoadLimiter {
    /** Fraction of the allowed rate that is used, so that late orders of a previous controller do not exceed it. */
    private static final double RATE_FRACTION = 0.9;
    /** Window over which starts are counted, in milliseconds: the same length as the window of the weight store. */
    private static final long RATE_WINDOW_MILLIS = 5_000;
    /** Fraction of their usual time that loads take before the first call. */
    private static final double PRE_TRAFFIC_LOAD_FACTOR = 0.1;

    private final ArrayDeque<Long> starts = new ArrayDeque<>();
    private final PriorityQueue<Long> ends = new PriorityQueue<>();

    /**
     * Starts loads if the limits allow them now.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param count number of loads to start, 0 or more
     * @param loadMillis duration of one load, in milliseconds
     * @param view the limits, and whether callers have sent calls
     * @return true if the loads may start
     */
    boolean tryStart(long nowMillis, int count, long loadMillis, FleetView view) {
        if (count == 0) {
            return true;
        }
        expire(nowMillis);
        boolean allowed = withinConcurrency(view) && (!view.trafficSeen() || withinRate(count, view));
        if (!allowed) {
            return false;
        }
        double factor = view.trafficSeen() ? 1 : PRE_TRAFFIC_LOAD_FACTOR;
        for (int i = 0; i < count; i++) {
            if (view.trafficSeen()) {
                starts.add(nowMillis);
            }
            ends.add(nowMillis + (long) (loadMillis * factor));
        }
        return true;
    }

    private boolean withinRate(int count, FleetView view) {
        double allowed = view.engine().maxLoadsPerSecond() * RATE_FRACTION * RATE_WINDOW_MILLIS / 1000;
        return starts.isEmpty() || starts.size() + count <= allowed;
    }

    /** The last group may exceed the limit: its loads and the others then share the weight store's full bandwidth. */
    private boolean withinConcurrency(FleetView view) {
        return ends.size() < view.engine().maxConcurrentLoads();
    }

    private void expire(long nowMillis) {
        while (!starts.isEmpty() && starts.peek() <= nowMillis - RATE_WINDOW_MILLIS) {
            starts.poll();
        }
        while (!ends.isEmpty() && ends.peek() <= nowMillis) {
            ends.poll();
        }
    }
}
