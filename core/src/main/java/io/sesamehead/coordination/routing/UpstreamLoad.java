package io.sesamehead.coordination.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Load of one upstream: the exact number of this daemon's attempts plus an estimate for the other daemons, which is the
 * last load report minus this daemon's attempts at the time of the report.
 */
final class UpstreamLoad {
    /** Maximum age of a usable report; an older one does not represent the current load. */
    private static final long MAX_REPORT_AGE_MILLIS = 10_000;

    /**
     * Divisor for the attempts of other daemons. All daemons see the same delayed figure; if it counted in full, they
     * would all leave and refill an upstream together.
     */
    private static final long OTHERS_DIVISOR = 4;

    /** Maximum number of history entries; beyond it, the oldest reports are matched less precisely. */
    private static final int MAX_HISTORY = 256;

    private final Deque<Change> history = new ArrayDeque<>();
    private int own;
    private int ownBeforeHistory;
    private long others;
    private long reportTimeMillis = Long.MIN_VALUE;

    private record Change(long atMillis, int own) {}

    void recordStart(long nowMillis) {
        updateOwn(own + 1, nowMillis);
    }

    void recordFinish(long nowMillis) {
        updateOwn(Math.max(0, own - 1), nowMillis);
    }

    void recordReport(long total, long ageMillis, long nowMillis) {
        long timeMillis = nowMillis - ageMillis;
        if (timeMillis < reportTimeMillis) {
            return;
        }
        reportTimeMillis = timeMillis;
        others = Math.max(0, total - ownAt(timeMillis));
    }

    long estimate(long nowMillis) {
        boolean fresh = reportTimeMillis != Long.MIN_VALUE && nowMillis - reportTimeMillis <= MAX_REPORT_AGE_MILLIS;
        return own + (fresh ? others / OTHERS_DIVISOR : 0);
    }

    private void updateOwn(int count, long nowMillis) {
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
