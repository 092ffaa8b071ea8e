package io.sesamehead.daemon.transport;

import java.time.Duration;

/** Result of a watch. */
public sealed interface WatchResult {
    /** The requested duration has elapsed; watch again from the last version received. */
    record TimedOut() implements WatchResult {}

    /** The version is too old to watch from; read the object before watching again. */
    record VersionExpired() implements WatchResult {}

    /**
     * The call was rejected by the rate limit of the API or by the token bucket of the daemon.
     *
     * @param retryAfter delay after which to retry
     */
    record RateLimited(Duration retryAfter) implements WatchResult {}

    /**
     * The connection failed or was lost, or the API responded with an error.
     *
     * @param detail description for the log
     */
    record Broken(String detail) implements WatchResult {}
}
