package io.sesamehead.coordination.order;

import io.sesamehead.state.OrderRecord;

/** What an upstream answers when it is asked about a key. */
public sealed interface KeyAnswer {
    /**
     * The upstream has run the call.
     *
     * @param result its result
     */
    record Done(OrderRecord.Result result) implements KeyAnswer {}

    /** The upstream is running the call. */
    record Running() implements KeyAnswer {}

    /** The upstream has never seen the key; the call may still be on its way. */
    record NeverSeen() implements KeyAnswer {}

    /** The upstream did not answer. */
    record Unavailable() implements KeyAnswer {}
}
