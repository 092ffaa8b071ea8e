package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.membership.DaemonDirectory;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.daemon.protocol.PeerMessages;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Heartbeat;
import io.sesamehead.daemon.transport.PeerConnection;
import io.sesamehead.daemon.transport.PeerListener;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/** Dispatches the frames of peers to the components that handle them. */
public final class PeerFrameDispatcher implements PeerListener {
    private final DaemonTables tables;
    private final StateDistributor distributor;
    private final EvidenceExchange evidence;
    private final CallFrameListener calls;
    private final RemoteServiceTable serving;
    private final LongSupplier clock;

    /** Receives the frames of forwarded calls and of suspects. */
    public interface CallFrameListener {
        /**
         * Handles a frame of a forwarded call or a suspect.
         *
         * @param connection connection on which the frame was received
         * @param frame the frame
         */
        void received(PeerConnection connection, Frame frame);

        /**
         * Handles the loss of a connection, which also ends its calls.
         *
         * @param connection the closed connection
         */
        void disconnected(PeerConnection connection);
    }

    /**
     * Creates a dispatcher.
     *
     * @param tables the tables of this daemon
     * @param distributor merges releases, assignments and VM lists
     * @param evidence merges evidence
     * @param calls receives the frames of calls and suspects
     * @param serving records which services other failure domains serve
     * @param clock monotonic clock, in milliseconds
     */
    public PeerFrameDispatcher(
            DaemonTables tables,
            StateDistributor distributor,
            EvidenceExchange evidence,
            CallFrameListener calls,
            RemoteServiceTable serving,
            LongSupplier clock) {
        this.tables = tables;
        this.distributor = distributor;
        this.evidence = evidence;
        this.calls = calls;
        this.serving = serving;
        this.clock = clock;
    }

    @Override
    public void connected(PeerConnection connection) {
        DaemonEntry peer = PeerMessages.daemon(connection.peer(), false);
        if (recordPeer(peer) == DaemonDirectory.Change.REPLACED) {
            Logger.warn(
                    "peer: closed the connection of replaced incarnation {} of {}", peer.incarnation(), peer.daemon());
            connection.close();
            return;
        }
        distributor.recordAnswer();
        if (tables.isRelay(clock.getAsLong())) {
            distributor.sendSnapshot(connection);
        } else if (!connection.dialled()) {
            distributor.sendDirectory(connection);
        }
    }

    private DaemonDirectory.Change recordPeer(DaemonEntry peer) {
        DaemonDirectory.Change change = tables.directory().recordMessage(clock.getAsLong(), peer);
        if (change == DaemonDirectory.Change.NEW || change == DaemonDirectory.Change.RESTARTED) {
            Logger.info(
                    "peer: {} in {} is {}",
                    peer.daemon(),
                    peer.failureDomain(),
                    change == DaemonDirectory.Change.NEW ? "new" : "restarted");
        }
        return change;
    }

    @Override
    public void received(PeerConnection connection, Frame frame) {
        try {
            dispatch(connection, frame);
        } catch (IllegalArgumentException e) {
            Logger.error("peer: dropped a malformed frame from {}: {}", connection, e.getMessage());
        }
    }

    private void dispatch(PeerConnection connection, Frame frame) {
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> heartbeat(connection, frame.getHeartbeat());
            case EVIDENCE -> evidence.receive(connection, frame.getEvidence());
            case CONFIG_UPDATE -> distributor.onPeerRelease(connection, frame.getConfigUpdate());
            case ASSIGNMENT_UPDATE -> distributor.onPeerAssignment(frame.getAssignmentUpdate());
            case VM_UPDATE -> distributor.onPeerVms(frame.getVmUpdate());
            case DIRECTORY_UPDATE ->
                PeerMessages.directory(frame.getDirectoryUpdate()).forEach(tables.directory()::recordListed);
            case LEAVING -> {
                recordPeer(PeerMessages.daemon(connection.peer(), true));
                Logger.info("peer: {} is leaving", connection.peer().getDaemon());
            }
            case FORWARD, FORWARD_EVENT, FORWARD_END, FORWARD_CANCEL, SUSPECT -> calls.received(connection, frame);
            case HELLO, BODY_NOT_SET -> Logger.debug("peer: ignored a frame of kind {}", frame.getBodyCase());
        }
    }

    private void heartbeat(PeerConnection connection, Heartbeat heartbeat) {
        DaemonEntry peer = PeerMessages.daemon(connection.peer(), heartbeat.getLeaving());
        if (recordPeer(peer) == DaemonDirectory.Change.REPLACED) {
            connection.close();
            return;
        }
        if (!peer.failureDomain().equals(tables.failureDomain())) {
            serving.record(peer.daemon(), heartbeat);
        }
        distributor.onHeartbeat(connection, heartbeat);
    }

    @Override
    public void disconnected(PeerConnection connection) {
        evidence.disconnected(connection);
        calls.disconnected(connection);
    }
}
