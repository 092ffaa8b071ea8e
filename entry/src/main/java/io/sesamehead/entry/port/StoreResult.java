package io.sesamehead.entry.port;

/**
 * How a call to the store ended.
 *
 * @param <V> what the call returns
 */
public sealed interface StoreResult<V> {
    /**
     * The call was carried out.
     *
     * @param value what it returned
     * @param <V> its type
     */
    record Ok<V>(V value) implements StoreResult<V> {}

    /**
     * The object is not at the expected revision, or exists already.
     *
     * @param <V> what the call returns
     */
    record Conflict<V>() implements StoreResult<V> {}

    /**
     * The store has forgotten the changes since the given revision.
     *
     * @param <V> what the call returns
     */
    record HistoryExpired<V>() implements StoreResult<V> {}

    /**
     * The store refused the call and did nothing.
     *
     * @param reason what it said
     * @param <V> what the call returns
     */
    record Refused<V>(String reason) implements StoreResult<V> {}

    /**
     * There is no answer. A write may have taken effect, or may still do so.
     *
     * @param reason what happened
     * @param <V> what the call returns
     */
    record NoResponse<V>(String reason) implements StoreResult<V> {}
}
