package io.sesamehead.daemon.transport;

/** Result of querying a plain service for an idempotency key. */
public sealed interface KeyQueryResult {
    /**
     * The call ran.
     *
     * @param status HTTP status of its response
     * @param body body of its response
     */
    record Done(int status, String body) implements KeyQueryResult {}

    /** The call is still running. */
    record Running() implements KeyQueryResult {}

    /** The service has never received the key. */
    record UnknownKey() implements KeyQueryResult {}

    /**
     * The service did not respond with a usable state.
     *
     * @param detail description for the log
     */
    record NoResponse(String detail) implements KeyQueryResult {}
}
