package io.sesamehead.daemon.transport;

/** What a plain service knows of an idempotency key. */
public sealed interface KeyState {
    /**
     * The call ran.
     *
     * @param status HTTP status of its answer
     * @param body body of its answer
     */
    record Done(int status, String body) implements KeyState {}

    /** The call is running. */
    record Running() implements KeyState {}

    /** The service has never seen the key. */
    record NeverSeen() implements KeyState {}

    /**
     * The service did not answer the question.
     *
     * @param detail a sentence for the log
     */
    record NoAnswer(String detail) implements KeyState {}
}
