package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.state.FailureDomain;
import java.util.List;
import java.util.function.Predicate;

/** Sends frames to connected peers, selected by failure domain or by which side opened the connection. */
public final class Broadcaster {
    private final PeerMesh mesh;
    private final String failureDomain;

    /**
     * Creates a broadcaster.
     *
     * @param mesh the peer connections
     * @param failureDomain failure domain of this daemon
     */
    public Broadcaster(PeerMesh mesh, FailureDomain failureDomain) {
        this.mesh = mesh;
        this.failureDomain = failureDomain.value();
    }

    /**
     * Whether a peer is in the failure domain of this daemon.
     *
     * @param connection connection to the peer
     * @return true if it is in the same failure domain
     */
    public boolean isLocal(PeerConnection connection) {
        return connection.peer().getFailureDomain().equals(failureDomain);
    }

    /**
     * Returns the dialled connections to peers in this failure domain.
     *
     * @return a snapshot
     */
    public List<PeerConnection> localPeers() {
        return select(this::isLocal);
    }

    /**
     * Returns the dialled connections to peers in other failure domains.
     *
     * @return a snapshot
     */
    public List<PeerConnection> remotePeers() {
        return select(connection -> !isLocal(connection));
    }

    /**
     * Sends a frame on every dialled connection within this failure domain.
     *
     * @param frame the frame
     */
    public void sendToLocalPeers(Frame frame) {
        localPeers().forEach(connection -> connection.send(frame));
    }

    /**
     * Sends a frame on every dialled connection.
     *
     * @param frame the frame
     */
    public void sendToDialledPeers(Frame frame) {
        mesh.dialled().forEach(connection -> connection.send(frame));
    }

    /**
     * Sends a frame on every connection, dialled or accepted.
     *
     * @param frame the frame
     */
    public void sendOnAllConnections(Frame frame) {
        sendToDialledPeers(frame);
        mesh.accepted().forEach(connection -> connection.send(frame));
    }

    private List<PeerConnection> select(Predicate<PeerConnection> condition) {
        return mesh.dialled().stream().filter(condition).toList();
    }
}
