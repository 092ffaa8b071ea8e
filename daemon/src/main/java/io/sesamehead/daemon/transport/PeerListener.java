package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;

/** Receives the events of a {@link PeerMesh} on its network thread. Implementations must not block. */
public interface PeerListener {
    /**
     * The Hello of the peer arrived on a new connection.
     *
     * @param connection the connection, whose {@link PeerConnection#peer()} is set
     */
    void connected(PeerConnection connection);

    /**
     * A frame other than Hello arrived.
     *
     * @param connection the connection on which it arrived
     * @param frame the frame
     */
    void received(PeerConnection connection, Frame frame);

    /**
     * A connection that was reported by {@link #connected} was closed.
     *
     * @param connection the connection
     */
    void disconnected(PeerConnection connection);
}
