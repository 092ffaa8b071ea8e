package io.sesamehead.cli.load;

import io.sesamehead.state.RunState;

/** Result of one attempt at a call on one daemon. */
public sealed interface AttemptResult {
    /**
     * A complete answer that passed verification.
     *
     * @param answer text that is compared between calls with the same key
     */
    record Whole(String answer) implements AttemptResult {}

    /**
     * A complete answer that does not match the call.
     *
     * @param detail what differs
     */
    record Wrong(String detail) implements AttemptResult {}

    /**
     * An error answer or an error event.
     *
     * @param runState execution state reported by the answer
     * @param kind problem type without its common prefix
     * @param retryAfterMillis delay before a retry from the answer, in milliseconds; 0 if the answer contains none
     */
    record Refused(RunState runState, String kind, long retryAfterMillis) implements AttemptResult {}

    /**
     * No connection could be established, so nothing was sent.
     *
     * @param detail the cause
     */
    record Unreachable(String detail) implements AttemptResult {}

    /**
     * The connection failed or received no data until the timeout after the request was sent.
     *
     * @param detail the cause
     */
    record Broken(String detail) implements AttemptResult {}

    /**
     * The daemon ended the event stream without a final event.
     *
     * @param detail the cause
     */
    record Torn(String detail) implements AttemptResult {}
}
