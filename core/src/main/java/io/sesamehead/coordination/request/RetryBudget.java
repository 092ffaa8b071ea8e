package io.sesamehead.coordination.request;

/**
 * Limits retries to a fraction of recent calls, so that retries cannot multiply the load on a failing fleet. Counts
 * decay exponentially. Thread-safe. Its lock is a leaf lock: no other lock is acquired while it is held.
 */
public final class RetryBudget {
    /** Default number of retries allowed per recent call. */
    public static final double DEFAULT_RATIO = 0.1;

    /** Default number of recent retries that are always allowed, so that an almost idle daemon can retry. */
    public static final double DEFAULT_FLOOR = 3;

    /** Default half-life of the counts, in milliseconds. */
    public static final long DEFAULT_HALF_LIFE_MILLIS = 10_000;

    private final double ratio;
    private final double floor;
    private final long halfLifeMillis;
    private double calls;
    private double retries;
    private long updatedMillis;

    /** Creates a budget with the default ratio, floor and half-life. */
    public RetryBudget() {
        this(DEFAULT_RATIO, DEFAULT_FLOOR, DEFAULT_HALF_LIFE_MILLIS);
    }

    /**
     * Creates a budget.
     *
     * @param ratio number of retries allowed per recent call
     * @param floor number of recent retries that are always allowed
     * @param halfLifeMillis half-life of the counts, in milliseconds
     */
    public RetryBudget(double ratio, double floor, long halfLifeMillis) {
        this.ratio = ratio;
        this.floor = floor;
        this.halfLifeMillis = halfLifeMillis;
    }

    /**
     * Records a call. Retries are not recorded as calls.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public synchronized void recordCall(long nowMillis) {
        decay(nowMillis);
        calls++;
    }

    /**
     * Takes one retry from the budget if one is left.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the retry is allowed
     */
    public synchronized boolean tryRetry(long nowMillis) {
        decay(nowMillis);
        if (retries + 1 > Math.max(floor, ratio * calls)) {
            return false;
        }
        retries++;
        return true;
    }

    private void decay(long nowMillis) {
        long elapsed = nowMillis - updatedMillis;
        if (elapsed <= 0) {
            return;
        }
        double factor = Math.pow(0.5, (double) elapsed / halfLifeMillis);
        calls *= factor;
        retries *= factor;
        updatedMillis = nowMillis;
    }
}
