package io.sesamehead.coordination.order;

import io.sesamehead.state.IdempotencyRecord;

/** Status of a key, as returned by the upstream. */
public sealed interface KeyStatus {
    /**
     * The upstream has run the call.
     *
     * @param result result of the call
     */
    record Done(IdempotencyRecord.Result result) implements KeyStatus {}

    /** The upstream is running the call. */
    record Running() implements KeyStatus {}

    /** The upstream has not received the key; the call may still be in flight. */
    record UnknownKey() implements KeyStatus {}

    /** The upstream did not answer. */
    record Unavailable() implements KeyStatus {}
}
