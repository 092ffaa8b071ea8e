package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;

/** Receives the events of a {@link PeerMesh} on its network thread; implementations must not block. */
public interface PeerListener {
    /**
     * The peer said Hello on a connection.
     *
     * @param connection the connection, whose {@link PeerConnection#peer()} is set
     */
    void connected(PeerConnection connection);

    /**
     * A frame other than Hello arrived.
     *
     * @param connection where it arrived
     * @param frame the frame
     */
    void received(PeerConnection connection, Frame frame);

    /**
     * A connection that was announced by {@link #connected} ended.
     *
     * @param connection the connection
     */
    void disconnected(PeerConnection connection);
}
