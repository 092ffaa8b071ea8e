package io.sesamehead.cli.load;

import io.sesamehead.state.RunState;

/** What one attempt at one daemon returned. */
public sealed interface AttemptResult {
    /**
     * A complete answer that passed its check.
     *
     * @param answer text by which repeats of the call are compared
     */
    record Whole(String answer) implements AttemptResult {}

    /**
     * A complete answer that is not the answer to the call.
     *
     * @param detail what differs
     */
    record Wrong(String detail) implements AttemptResult {}

    /**
     * An error answer or an error event.
     *
     * @param runState what the answer says about execution
     * @param kind last part of the problem type
     * @param retryAfterMillis advised pause before a retry, 0 when the answer advises none
     */
    record Refused(RunState runState, String kind, long retryAfterMillis) implements AttemptResult {}

    /**
     * No connection could be made, so no byte was sent.
     *
     * @param detail the cause
     */
    record Unreachable(String detail) implements AttemptResult {}

    /**
     * The connection broke or stayed silent after the request was sent.
     *
     * @param detail the cause
     */
    record Broken(String detail) implements AttemptResult {}

    /**
     * The daemon ended an event stream without a final event.
     *
     * @param detail the cause
     */
    record Torn(String detail) implements AttemptResult {}
}
