package io.sesamehead.coordination.catalog;

/**
 * A period in which a caller's connection is idle. Callers reuse a connection as long as the limit that they know
 * allows, so a limit that is lowered during the period applies from the next period on. Not thread-safe.
 */
public final class IdlePeriod {
    private final long beganAtMillis;
    private long limitMillis;

    /**
     * Begins a period.
     *
     * @param beganAtMillis current time, in milliseconds
     * @param limitMillis limit that the caller knows, in milliseconds
     */
    public IdlePeriod(long beganAtMillis, long limitMillis) {
        this.beganAtMillis = beganAtMillis;
        this.limitMillis = limitMillis;
    }

    /**
     * Applies a changed limit, unless it is lower.
     *
     * @param currentLimitMillis limit of the active configuration, in milliseconds
     */
    public void raiseLimit(long currentLimitMillis) {
        limitMillis = Math.max(limitMillis, currentLimitMillis);
    }

    /**
     * Returns whether the connection has been idle for longer than its limit and may be closed.
     *
     * @param nowMillis current time, in milliseconds
     * @return true if the limit has passed
     */
    public boolean hasExpired(long nowMillis) {
        return isLongerThan(limitMillis, nowMillis);
    }

    /**
     * Returns whether the connection has been idle for longer than a given time.
     *
     * @param millis the time, in milliseconds
     * @param nowMillis current time, in milliseconds
     * @return true if the period is longer
     */
    public boolean isLongerThan(long millis, long nowMillis) {
        return nowMillis - beganAtMillis > millis;
    }
}
