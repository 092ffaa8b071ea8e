package io.sesamehead.daemon.transport;

import java.time.Duration;

/** How a watch ended. */
public sealed interface WatchResult {
    /** The requested time is over; watch again from the last version seen. */
    record TimedOut() implements WatchResult {}

    /** The version is too old to watch from; read the object and watch again. */
    record VersionExpired() implements WatchResult {}

    /**
     * The API limits the rate.
     *
     * @param retryAfter when to try again
     */
    record RateLimited(Duration retryAfter) implements WatchResult {}

    /**
     * The connection failed or broke.
     *
     * @param detail a sentence for the log
     */
    record Broken(String detail) implements WatchResult {}
}
