package io.sesamehead.coordination.dispatch;

/**
 * Calls in flight of one failure domain without their random variation. A change beyond what chance explains is taken
 * over at once, such as the start of a wave or the loss of daemons; smaller ones are averaged. Not thread-safe.
 */
final class SmoothedDemand {
    /**
     * Time constant of the average, in milliseconds: about a run time, over which counts in flight are independent. A
     * longer one lags behind waves, a shorter one follows chance.
     */
    private static final double AVERAGE_MILLIS = 500;
    /** Deviation that is taken over at once, in standard deviations of a random count. */
    private static final double NOTABLE_DEVIATIONS = 2;

    private double calls = Double.NaN;
    private long atMillis;

    /**
     * Adds a count.
     *
     * @param count calls in flight
     * @param nowMillis current monotonic time, in milliseconds
     * @return the demand without random variation, in calls
     */
    double update(int count, long nowMillis) {
        boolean notable = !(Math.abs(count - calls) <= NOTABLE_DEVIATIONS * Math.sqrt(Math.max(1, calls)));
        double weight = 1 - Math.exp(-Math.max(0, nowMillis - atMillis) / AVERAGE_MILLIS);
        calls = notable ? count : calls + weight * (count - calls);
        atMillis = nowMillis;
        return calls;
    }
}
