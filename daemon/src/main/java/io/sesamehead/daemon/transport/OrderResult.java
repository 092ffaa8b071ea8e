package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.EngineStatus;

/** Result of a control order to an engine. */
public sealed interface OrderResult {
    /**
     * The engine took the order.
     *
     * @param status the status after the order
     */
    record Accepted(EngineStatus status) implements OrderResult {}

    /**
     * The engine refused the order because its epoch is lower than one that the engine has seen.
     *
     * @param detail a sentence for the log
     */
    record Fenced(String detail) implements OrderResult {}

    /**
     * The engine refused the order for another reason.
     *
     * @param status HTTP status
     * @param detail a sentence for the log
     */
    record Refused(int status, String detail) implements OrderResult {}

    /**
     * No byte of the order reached a socket.
     *
     * @param detail a sentence for the log
     */
    record NotSent(String detail) implements OrderResult {}

    /**
     * The answer was lost after at least one byte may have been sent.
     *
     * @param detail a sentence for the log
     */
    record Unknown(String detail) implements OrderResult {}
}
