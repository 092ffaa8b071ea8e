package io.sesamehead.coordination.request;

/**
 * Limits retries to a share of recent calls, so that retries cannot multiply the load of a failing fleet. Counts decay
 * with a half-life. Thread-safe; its lock is a leaf.
 */
public final class RetryBudget {
    /** Retries allowed for each call. */
    public static final double DEFAULT_RATIO = 0.1;

    /** Recent retries that are always allowed, so that an almost idle daemon can retry at all. */
    public static final double DEFAULT_FLOOR = 3;

    /** Time in which a recorded call loses half its weight, in milliseconds. */
    public static final long DEFAULT_HALF_LIFE_MILLIS = 10_000;

    private final double ratio;
    private final double floor;
    private final long halfLifeMillis;
    private double calls;
    private double retries;
    private long updatedMillis;

    /** Creates a budget with the default figures. */
    public RetryBudget() {
        this(DEFAULT_RATIO, DEFAULT_FLOOR, DEFAULT_HALF_LIFE_MILLIS);
    }

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed for each recent call
     * @param floor recent retries that are always allowed
     * @param halfLifeMillis time in which counts halve, in milliseconds
     */
    public RetryBudget(double ratio, double floor, long halfLifeMillis) {
        this.ratio = ratio;
        this.floor = floor;
        this.halfLifeMillis = halfLifeMillis;
    }

    /**
     * Records a call, not a retry.
     *
     * @param nowMillis present time, in milliseconds
     */
    public synchronized void recordCall(long nowMillis) {
        decay(nowMillis);
        calls++;
    }

    /**
     * Takes one retry from the budget.
     *
     * @param nowMillis present time, in milliseconds
     * @return true when the retry may go out
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
