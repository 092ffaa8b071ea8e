package io.sesamehead.daemon.transport;

/** Token bucket that limits the rate of calls. One lock of its own, held only for arithmetic. */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final double tokensPerMilli;
    private final double capacity;
    private double tokens;
    private long filledAtMillis;

    /**
     * Creates a full bucket.
     *
     * @param callsPerSecond rate at which tokens come back
     * @param capacity largest number of saved tokens
     * @param nowMillis monotonic time, in milliseconds
     */
    public TokenBucket(int callsPerSecond, int capacity, long nowMillis) {
        this.tokensPerMilli = callsPerSecond / MILLIS_PER_SECOND;
        this.capacity = capacity;
        this.tokens = capacity;
        this.filledAtMillis = nowMillis;
    }

    /**
     * Takes a token, now or later: the token is reserved and the caller waits before its call.
     *
     * @param nowMillis monotonic time, in milliseconds
     * @param maxWaitMillis longest wait that the caller accepts
     * @return the wait in milliseconds, or -1 when the wait would be longer and no token was taken
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
        long elapsedMillis = Math.max(0, nowMillis - filledAtMillis);
        tokens = Math.min(capacity, tokens + elapsedMillis * tokensPerMilli);
        filledAtMillis = Math.max(filledAtMillis, nowMillis);
    }
}
