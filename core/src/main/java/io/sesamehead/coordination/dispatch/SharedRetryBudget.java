package io.sesamehead.coordination.dispatch;

/**
 * Limits how often calls of one service are sent again. The limit holds for all daemons together over a sliding window;
 * each daemon uses its part of the fixed allowance and the share that its own calls earn, without asking the others.
 * Not thread-safe.
 */
public final class SharedRetryBudget {
    private static final int BUCKETS = 10;
    /**
     * Part of the limit that is used: other daemons may count one more or one fewer daemon, and all may start again once in
     * a window.
     */
    private static final double MARGIN = 0.8;

    private final double ratio;
    private final double slack;
    private final long bucketMillis;
    private final long fixedPartFromMillis;
    private final long[] calls = new long[BUCKETS + 1];
    private final long[] repeats = new long[BUCKETS + 1];
    private long current;

    /**
     * Creates an allowance.
     *
     * @param ratio repeats allowed for each call
     * @param slack repeats allowed to all daemons in each window beside those
     * @param windowMillis length of the window, in milliseconds
     * @param fixedPartFromMillis steady time from which the daemon uses its whole part of the fixed allowance: a window
     *     after a restart, since the process before may have used that part up; until then it uses what the margin spares
     */
    public SharedRetryBudget(double ratio, double slack, long windowMillis, long fixedPartFromMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.fixedPartFromMillis = fixedPartFromMillis;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /**
     * Records a call when it arrives.
     *
     * @param nowMillis present steady time
     */
    public void recordCall(long nowMillis) {
        advance(nowMillis);
        calls[slot(current)]++;
    }

    /**
     * Takes one repeat.
     *
     * @param nowMillis present steady time
     * @param daemons daemons that share the allowance, at least 1
     * @return true if the call may be sent again
     */
    public boolean tryRetry(long nowMillis, int daemons) {
        if (remaining(nowMillis, daemons) < 1) {
            return false;
        }
        repeats[slot(current)]++;
        return true;
    }

    /**
     * Returns the repeats left in the window.
     *
     * @param nowMillis present steady time
     * @param daemons daemons that share the allowance, at least 1
     * @return the count, below 1 when none is left
     */
    public double remaining(long nowMillis, int daemons) {
        advance(nowMillis);
        double fixedPart = nowMillis < fixedPartFromMillis ? 1 - MARGIN : MARGIN;
        double limit = MARGIN * ratio * sum(calls) + fixedPart * slack / Math.max(1, daemons);
        return limit - sum(repeats);
    }

    private void advance(long nowMillis) {
        long bucket = nowMillis / bucketMillis;
        if (bucket - current > BUCKETS) {
            current = bucket - BUCKETS - 1;
        }
        while (current < bucket) {
            current++;
            calls[slot(current)] = 0;
            repeats[slot(current)] = 0;
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
