package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.state.FailureDomain;
import java.util.List;
import java.util.function.Predicate;

/** Sends frames to all dialled peers of this failure domain or of the others. */
public final class Broadcaster {
    private final PeerMesh mesh;
    private final String failureDomain;

    /**
     * Creates a sender over a mesh.
     *
     * @param mesh the mesh
     * @param failureDomain failure domain of this daemon
     */
    public Broadcaster(PeerMesh mesh, FailureDomain failureDomain) {
        this.mesh = mesh;
        this.failureDomain = failureDomain.value();
    }

    /**
     * Tells whether a peer is in this failure domain.
     *
     * @param connection connection to the peer
     * @return true when it is
     */
    public boolean isLocal(PeerConnection connection) {
        return connection.peer().getFailureDomain().equals(failureDomain);
    }

    /**
     * Returns the dialled connections within this failure domain.
     *
     * @return a snapshot
     */
    public List<PeerConnection> localPeers() {
        return select(this::isLocal);
    }

    /**
     * Returns the dialled connections to other failure domains.
     *
     * @return a snapshot
     */
    public List<PeerConnection> remotePeers() {
        return select(connection -> !isLocal(connection));
    }

    /**
     * Sends a frame to all dialled peers of this failure domain.
     *
     * @param frame the frame
     */
    public void sendToLocalPeers(Frame frame) {
        localPeers().forEach(connection -> connection.send(frame));
    }

    /**
     * Sends a frame to all dialled peers.
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
