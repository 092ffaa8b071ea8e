package io.sesamehead.daemon.transport;

import java.time.Duration;

/**
 * Result of a call to the object API. A write with the result {@link Ambiguous} may have taken effect and is resolved by
 * reading the object back; after every other failure the object is unchanged.
 *
 * @param <T> type of the value of a successful call
 */
public sealed interface StoreResult<T> {
    /**
     * The call succeeded.
     *
     * @param <T> type of the value
     * @param value the value that the API returned
     */
    record Ok<T>(T value) implements StoreResult<T> {}

    /**
     * The object does not exist.
     *
     * @param <T> type of the value
     */
    record NotFound<T>() implements StoreResult<T> {}

    /**
     * The version of a conditional update is not the current version.
     *
     * @param <T> type of the value
     */
    record Conflict<T>() implements StoreResult<T> {}

    /**
     * An object with the name of the new object already exists.
     *
     * @param <T> type of the value
     */
    record AlreadyExists<T>() implements StoreResult<T> {}

    /**
     * The call was rejected by the rate limit of the API or by the token bucket of the daemon.
     *
     * @param <T> type of the value
     * @param retryAfter delay after which to retry
     */
    record RateLimited<T>(Duration retryAfter) implements StoreResult<T> {}

    /**
     * The API is unreachable or reported an outage; a write did not take effect.
     *
     * @param <T> type of the value
     * @param detail description for the log
     */
    record Unavailable<T>(String detail) implements StoreResult<T> {}

    /**
     * The response to a write was lost after at least one byte of the request may have been sent, or leaves open whether the
     * write took effect.
     *
     * @param <T> type of the value
     * @param detail description for the log
     */
    record Ambiguous<T>(String detail) implements StoreResult<T> {}

    /**
     * The API rejected the call or returned a malformed response.
     *
     * @param <T> type of the value
     * @param detail description for the log
     */
    record Rejected<T>(String detail) implements StoreResult<T> {}
}
