package io.sesamehead.daemon.transport;

/** Condition that is checked immediately before the first byte of a request is written to a socket. */
@FunctionalInterface
public interface SendGate {
    /** Always allows the request. */
    SendGate OPEN = () -> true;

    /**
     * Whether the request may be sent.
     *
     * @return false to end the exchange without sending anything
     */
    boolean maySend();
}
