package io.sesamehead.entry.port;

/**
 * The result of a store call.
 *
 * @param <V> type of the returned value
 */
public sealed interface StoreResult<V> {
    /**
     * The call succeeded.
     *
     * @param value returned value
     * @param <V> type of the returned value
     */
    record Ok<V>(V value) implements StoreResult<V> {}

    /**
     * The object is not at the expected revision, or exists already.
     *
     * @param <V> type of the returned value
     */
    record Conflict<V>() implements StoreResult<V> {}

    /**
     * The store no longer has the history since the given revision.
     *
     * @param <V> type of the returned value
     */
    record HistoryExpired<V>() implements StoreResult<V> {}

    /**
     * The store refused the call without any effect.
     *
     * @param reason cause of the refusal
     * @param <V> type of the returned value
     */
    record Refused<V>(String reason) implements StoreResult<V> {}

    /**
     * No response was received. A write may have taken effect, or may still do so.
     *
     * @param reason cause of the failure
     * @param <V> type of the returned value
     */
    record NoResponse<V>(String reason) implements StoreResult<V> {}
}
