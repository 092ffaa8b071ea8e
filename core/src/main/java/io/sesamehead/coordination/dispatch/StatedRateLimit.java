package io.sesamehead.coordination.dispatch;

/** What one response says about the rate of requests that its upstream accepts from all daemons together. */
public sealed interface StatedRateLimit {
    /** The response states no limit. */
    record None() implements StatedRateLimit {}

    /**
     * The response states a limit.
     *
     * @param perSecond requests per second, finite and at least 0; 0 accepts none
     */
    record Limit(double perSecond) implements StatedRateLimit {}

    /**
     * The response states something that is no limit. It neither begins nor ends one.
     *
     * @param text the stated text
     */
    record Unreadable(String text) implements StatedRateLimit {}
}
