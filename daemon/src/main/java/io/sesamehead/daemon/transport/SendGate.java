package io.sesamehead.daemon.transport;

/** Asked immediately before the first byte of a request is handed to a socket. */
@FunctionalInterface
public interface SendGate {
    /** Always lets the request pass. */
    SendGate OPEN = () -> true;

    /**
     * Decides whether the request may be sent.
     *
     * @return false to end the exchange with nothing sent
     */
    boolean maySend();
}
