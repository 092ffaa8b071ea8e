package io.sesamehead.coordination.dispatch;

/**
 * Limits the retries of one service across all daemons over a sliding window. Each daemon uses its share of a fixed
 * allowance plus the retries that its own calls earn, without coordinating with the other daemons. Not thread-safe.
 */
public final class SharedRetryBudget {
    private static final int BUCKETS = 10;
    /**
     * Fraction of the limit that is used. The rest allows for daemons whose daemon counts differ by one, and for a
     * restart of all daemons once in a window.
     */
    private static final double USABLE_FRACTION = 0.8;

    private final double ratio;
    private final double slack;
    private final long bucketMillis;
    private final long fullSlackFromMillis;
    private final long[] calls = new long[BUCKETS + 1];
    private final long[] retries = new long[BUCKETS + 1];
    private long current;

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed per call
     * @param slack fixed allowance of additional retries per window, shared by all daemons
     * @param windowMillis length of the window, in milliseconds
     * @param fullSlackFromMillis monotonic time, in milliseconds, from which the daemon uses its full share of the
     *     slack. After a restart this is one window later, because the previous process may have used up that share;
     *     until then the daemon uses only the reserve that the usable fraction leaves
     */
    public SharedRetryBudget(double ratio, double slack, long windowMillis, long fullSlackFromMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.fullSlackFromMillis = fullSlackFromMillis;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /**
     * Records the arrival of a call.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordCall(long nowMillis) {
        advance(nowMillis);
        calls[slot(current)]++;
    }

    /**
     * Takes one retry from the budget if one is left.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param daemons number of daemons that share the budget, at least 1
     * @return true if the call may be retried
     */
    public boolean tryRetry(long nowMillis, int daemons) {
        if (remaining(nowMillis, daemons) < 1) {
            return false;
        }
        retries[slot(current)]++;
        return true;
    }

    /**
     * Returns the number of retries left in the window.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param daemons number of daemons that share the budget, at least 1
     * @return the number, below 1 if none is left
     */
    public double remaining(long nowMillis, int daemons) {
        advance(nowMillis);
        double slackFraction = nowMillis < fullSlackFromMillis ? 1 - USABLE_FRACTION : USABLE_FRACTION;
        double limit = USABLE_FRACTION * ratio * sum(calls) + slackFraction * slack / Math.max(1, daemons);
        return limit - sum(retries);
    }

    private void advance(long nowMillis) {
        long bucket = nowMillis / bucketMillis;
        if (bucket - current > BUCKETS) {
            current = bucket - BUCKETS - 1;
        }
        while (current < bucket) {
            current++;
            calls[slot(current)] = 0;
            retries[slot(current)] = 0;
        }
    }

    private static int slot(long bucket) {
        return (int) (bucket % (BUCKETS + 1));
    }

    private static long sum(long[] counts) {
        long total = 0;
        for (long count : counts) {
            total += count;
        }
        return total;
    }
}
