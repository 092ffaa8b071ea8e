package io.sesamehead.daemon.transport;

import java.time.Duration;

/**
 * Result of one call to the object API. A write that ended in {@link Ambiguous} may have taken effect and is resolved
 * by reading the object back; every other failure left the object unchanged.
 *
 * @param <T> value of a successful call
 */
public sealed interface StoreResult<T> {
    /**
     * The call succeeded.
     *
     * @param <T> type of the value
     * @param value what the API returned
     */
    record Ok<T>(T value) implements StoreResult<T> {}

    /**
     * The object does not exist.
     *
     * @param <T> type of the value
     */
    record NotFound<T>() implements StoreResult<T> {}

    /**
     * A conditional update named a version that is not current.
     *
     * @param <T> type of the value
     */
    record Conflict<T>() implements StoreResult<T> {}

    /**
     * A create named an object that exists.
     *
     * @param <T> type of the value
     */
    record AlreadyExists<T>() implements StoreResult<T> {}

    /**
     * The call was refused by the API's rate limit or by the daemon's own token bucket.
     *
     * @param <T> type of the value
     * @param retryAfter when to try again
     */
    record RateLimited<T>(Duration retryAfter) implements StoreResult<T> {}

    /**
     * The API cannot be reached or reported an outage; a write did not take effect.
     *
     * @param <T> type of the value
     * @param detail a sentence for the log
     */
    record Unavailable<T>(String detail) implements StoreResult<T> {}

    /**
     * The answer to a write was lost after at least one byte of it may have been sent.
     *
     * @param <T> type of the value
     * @param detail a sentence for the log
     */
    record Ambiguous<T>(String detail) implements StoreResult<T> {}

    /**
     * The API rejected the call or answered with something that cannot be read.
     *
     * @param <T> type of the value
     * @param detail a sentence for the log
     */
    record Rejected<T>(String detail) implements StoreResult<T> {}
}
