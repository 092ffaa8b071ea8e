package io.sesamehead.coordination.order;

import io.sesamehead.state.IdempotencyRecord;

/** What an upstream answers when it is asked about a key. */
public sealed interface KeyStatus {
    /**
     * The upstream has run the call.
     *
     * @param result its result
     */
    record Done(IdempotencyRecord.Result result) implements KeyStatus {}

    /** The upstream is running the call. */
    record Running() implements KeyStatus {}

    /** The upstream has never seen the key; the call may still be on its way. */
    record UnknownKey() implements KeyStatus {}

    /** The upstream did not answer. */
    record Unavailable() implements KeyStatus {}
}
