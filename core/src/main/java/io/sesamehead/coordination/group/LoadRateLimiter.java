package io.sesamehead.coordination.group;

/**
 * Token bucket for model loads. Bursts and refill together stay within the limit in any minute, also across a change of
 * the controller, which starts with an empty bucket.
 */
final class LoadRateLimiter {
    private static final double MINUTE_MILLIS = 60_000;
    /** Part of the limit that may be used in one burst. */
    private static final int BURST_DIVISOR = 4;

    private double tokens;
    private long refilledAtMillis;
    private int limitPerMinute;

    LoadRateLimiter(long nowMillis, int loadsPerMinute, boolean full) {
        limitPerMinute = loadsPerMinute;
        refilledAtMillis = nowMillis;
        tokens = full ? burstCapacity() : 0;
    }

    void refill(long nowMillis, int loadsPerMinute) {
        long passedMillis = Math.max(0, nowMillis - refilledAtMillis);
        refilledAtMillis = nowMillis;
        limitPerMinute = loadsPerMinute;
        tokens = Math.min(burstCapacity(), tokens + passedMillis * refillPerMillis());
    }

    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private int burstCapacity() {
        return limitPerMinute <= 0 ? 0 : Math.max(1, limitPerMinute / BURST_DIVISOR);
    }

    private double refillPerMillis() {
        return limitPerMinute <= 0
                ? 0
                : Math.max(limitPerMinute - burstCapacity(), limitPerMinute / 2.0) / MINUTE_MILLIS;
    }
}
