package io.sesamehead.daemon.transport;

/** Token bucket that limits the rate of calls. Thread-safe; its lock is held only for arithmetic. */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final double tokensPerMilli;
    private final double capacity;
    private double tokens;
    private long lastRefillMillis;

    /**
     * Creates a full bucket.
     *
     * @param callsPerSecond refill rate, in tokens per second
     * @param capacity maximum number of tokens in the bucket
     * @param nowMillis current time on the monotonic clock, in milliseconds
     */
    public TokenBucket(int callsPerSecond, int capacity, long nowMillis) {
        this.tokensPerMilli = callsPerSecond / MILLIS_PER_SECOND;
        this.capacity = capacity;
        this.tokens = capacity;
        this.lastRefillMillis = nowMillis;
    }

    /**
     * Reserves a token. The caller must wait for the returned time before its call.
     *
     * @param nowMillis current time on the monotonic clock, in milliseconds
     * @param maxWaitMillis maximum wait that the caller accepts, in milliseconds
     * @return the wait in milliseconds, or -1 if the wait would be longer and no token was reserved
     */
    public synchronized long reserve(long nowMillis, long maxWaitMillis) {
        refill(nowMillis);
        long waitMillis = tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / tokensPerMilli);
        if (waitMillis > maxWaitMillis) {
            return -1;
        }
        tokens -= 1;
        return waitMillis;
    }

    private void refill(long nowMillis) {
        long elapsedMillis = Math.max(0, nowMillis - lastRefillMillis);
        tokens = Math.min(capacity, tokens + elapsedMillis * tokensPerMilli);
        lastRefillMillis = Math.max(lastRefillMillis, nowMillis);
    }
}
