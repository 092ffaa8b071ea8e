package io.sesamehead.coordination.replica;

import java.util.ArrayDeque;
import java.util.PriorityQueue;

/**
 * Keeps loads from the weight store within its rate and within the number that run at once without slowing one another
 * down: more would delay them all. Not thread-safe.
 */
final class LoadLimiter {
    /** Part of the allowed rate that is used, so that late orders of a predecessor do not exceed it. */
    private static final double RATE_FRACTION = 0.9;
    /** Window over which starts are counted, in milliseconds: the length over which the weight store counts them. */
    private static final long RATE_WINDOW_MILLIS = 5_000;
    /** Loads before the first call take this part of their time. */
    private static final double PRE_TRAFFIC_LOAD_FACTOR = 0.1;

    private final ArrayDeque<Long> starts = new ArrayDeque<>();
    private final PriorityQueue<Long> ends = new PriorityQueue<>();

    /**
     * Takes loads if they may begin now.
     *
     * @param nowMillis present time
     * @param count loads to begin, 0 or more
     * @param loadMillis time of one load, in milliseconds
     * @param view limits and whether callers have sent calls
     * @return true if the loads may begin
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

    /** The last group may exceed the number: its loads and the others then share the weight store's full speed. */
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
