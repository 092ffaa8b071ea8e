package io.sesamehead.coordination.dispatch;

/**
 * How many requests a cold upstream may get within one second from all daemons together.
 *
 * @param excess factor on the rate that the upstream tolerates
 * @param slack requests added to the product
 */
public record ColdRequestLimit(double excess, double slack) {
    /**
     * Part of the limit that the daemons use. The rest allows for lists of daemons that differ by a few of them and for
     * requests that take unequal times to arrive.
     */
    private static final double USABLE_FRACTION = 0.9;

    /**
     * Returns the limit of a service.
     *
     * @param coldPerSecond requests per second that its upstreams tolerate while they are cold
     * @return maximum number of requests within one second
     */
    public int maxPerSecond(double coldPerSecond) {
        return (int) Math.max(0, Math.floor(coldPerSecond * excess + slack));
    }

    /**
     * Returns the number of permits that are divided among all daemons.
     *
     * @param coldPerSecond requests per second that the upstreams tolerate while they are cold
     * @return number of permits for one second
     */
    int permitsPerSecond(double coldPerSecond) {
        int limit = maxPerSecond(coldPerSecond);
        return Math.max(Math.min(1, limit), (int) Math.floor(limit * USABLE_FRACTION));
    }
}
