package io.sesamehead.coordination.group;

/**
 * Token bucket for model loads. Bursts and refill together stay within the limit in any minute, also across a change of
 * the controller, which starts with an empty bucket.
 */
final class LoadBudget {
    private static final double MINUTE_MILLIS = 60_000;
    /** Part of the limit that may be used in one burst. */
    private static final int BURST_DIVISOR = 4;

    private double tokens;
    private long refilledAtMillis;
    private int limit;

    LoadBudget(long nowMillis, int loadsPerMinute, boolean full) {
        limit = loadsPerMinute;
        refilledAtMillis = nowMillis;
        tokens = full ? capacity() : 0;
    }

    void refill(long nowMillis, int loadsPerMinute) {
        long passedMillis = Math.max(0, nowMillis - refilledAtMillis);
        refilledAtMillis = nowMillis;
        limit = loadsPerMinute;
        tokens = Math.min(capacity(), tokens + passedMillis * perMillis());
    }

    boolean take() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private int capacity() {
        return limit <= 0 ? 0 : Math.max(1, limit / BURST_DIVISOR);
    }

    private double perMillis() {
        return limit <= 0 ? 0 : Math.max(limit - capacity(), limit / 2.0) / MINUTE_MILLIS;
    }
}
