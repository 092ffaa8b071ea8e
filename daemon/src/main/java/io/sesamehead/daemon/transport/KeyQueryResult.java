package io.sesamehead.daemon.transport;

/** What a plain service knows of an idempotency key. */
public sealed interface KeyQueryResult {
    /**
     * The call ran.
     *
     * @param status HTTP status of its answer
     * @param body body of its answer
     */
    record Done(int status, String body) implements KeyQueryResult {}

    /** The call is running. */
    record Running() implements KeyQueryResult {}

    /** The service has never seen the key. */
    record UnknownKey() implements KeyQueryResult {}

    /**
     * The service did not answer the question.
     *
     * @param detail a sentence for the log
     */
    record NoResponse(String detail) implements KeyQueryResult {}
}
