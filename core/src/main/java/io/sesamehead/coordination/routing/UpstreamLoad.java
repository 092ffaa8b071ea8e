package io.sesamehead.coordination.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Load of one upstream: this daemon's own attempts, known exactly, plus those of other daemons, taken from the last load
 * report less the own attempts that the report counted.
 */
final class UpstreamLoad {
    /** A report older than this says too little about the present. */
    private static final long MAX_REPORT_AGE_MILLIS = 10_000;

    /**
     * Part of the other daemons' attempts that counts. All daemons see the same late figure; counted in full, they leave
     * and fill an upstream together.
     */
    private static final long OTHERS_DIVISOR = 4;

    /** Bound of the history's memory; beyond it the oldest report times are matched less exactly. */
    private static final int MAX_HISTORY = 256;

    private final Deque<Change> history = new ArrayDeque<>();
    private int own;
    private int ownBeforeHistory;
    private long others;
    private long reportMadeMillis = Long.MIN_VALUE;

    private record Change(long atMillis, int own) {}

    void started(long nowMillis) {
        changeOwn(own + 1, nowMillis);
    }

    void finished(long nowMillis) {
        changeOwn(Math.max(0, own - 1), nowMillis);
    }

    void reported(long total, long ageMillis, long nowMillis) {
        long madeMillis = nowMillis - ageMillis;
        if (madeMillis < reportMadeMillis) {
            return;
        }
        reportMadeMillis = madeMillis;
        others = Math.max(0, total - ownAt(madeMillis));
    }

    long estimate(long nowMillis) {
        boolean fresh = reportMadeMillis != Long.MIN_VALUE && nowMillis - reportMadeMillis <= MAX_REPORT_AGE_MILLIS;
        return own + (fresh ? others / OTHERS_DIVISOR : 0);
    }

    private void changeOwn(int count, long nowMillis) {
        own = count;
        history.addLast(new Change(nowMillis, count));
        while (history.size() > MAX_HISTORY || history.getFirst().atMillis() < nowMillis - MAX_REPORT_AGE_MILLIS) {
            ownBeforeHistory = history.removeFirst().own();
        }
    }

    private int ownAt(long timeMillis) {
        int count = ownBeforeHistory;
        for (Change change : history) {
            if (change.atMillis() > timeMillis) {
                break;
            }
            count = change.own();
        }
        return count;
    }
}
