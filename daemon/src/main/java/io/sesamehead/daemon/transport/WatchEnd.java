package io.sesamehead.daemon.transport;

import java.time.Duration;

/** How a watch ended. */
public sealed interface WatchEnd {
    /** The requested time is over; watch again from the last version seen. */
    record TimedOut() implements WatchEnd {}

    /** The version is too old to watch from; read the object and watch again. */
    record VersionExpired() implements WatchEnd {}

    /**
     * The API limits the rate.
     *
     * @param retryAfter when to try again
     */
    record RateLimited(Duration retryAfter) implements WatchEnd {}

    /**
     * The connection failed or broke.
     *
     * @param detail a sentence for the log
     */
    record Broken(String detail) implements WatchEnd {}
}
