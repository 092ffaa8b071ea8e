package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.EngineStatus;

/** Result of a control order to an engine. */
public sealed interface OrderResult {
    /**
     * The engine accepted the order.
     *
     * @param status status of the engine after the order
     */
    record Accepted(EngineStatus status) implements OrderResult {}

    /**
     * The engine rejected the order because its epoch is lower than one that the engine has already received.
     *
     * @param detail description for the log
     */
    record Fenced(String detail) implements OrderResult {}

    /**
     * The engine rejected the order for another reason.
     *
     * @param status HTTP status
     * @param detail description for the log
     */
    record Refused(int status, String detail) implements OrderResult {}

    /**
     * No byte of the order was written to a socket.
     *
     * @param detail description for the log
     */
    record NotSent(String detail) implements OrderResult {}

    /**
     * The response was lost or malformed after at least one byte may have been sent.
     *
     * @param detail description for the log
     */
    record Unknown(String detail) implements OrderResult {}
}
