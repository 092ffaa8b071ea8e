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

/** Passes each frame of a peer to the part of the daemon that it concerns. */
public final class PeerFrameDispatcher implements PeerListener {
    private final DaemonTables tables;
    private final StateDistributor news;
    private final EvidenceExchange evidence;
    private final CallFrameListener calls;
    private final RemoteServiceTable serving;
    private final LongSupplier clock;

    /** Takes the frames of forwarded calls and of suspects. */
    public interface CallFrameListener {
        /**
         * A frame of a call or a suspect arrived.
         *
         * @param connection where it arrived
         * @param frame the frame
         */
        void received(PeerConnection connection, Frame frame);

        /**
         * A connection ended, and with it the calls on it.
         *
         * @param connection the connection
         */
        void disconnected(PeerConnection connection);
    }

    /**
     * Creates the dispatch.
     *
     * @param tables the tables of this daemon
     * @param news takes releases, assignments and VM lists
     * @param evidence takes evidence
     * @param calls takes frames of calls
     * @param serving learns what other failure domains serve
     * @param clock monotonic clock, in milliseconds
     */
    public PeerFrameDispatcher(
            DaemonTables tables,
            StateDistributor news,
            EvidenceExchange evidence,
            CallFrameListener calls,
            RemoteServiceTable serving,
            LongSupplier clock) {
        this.tables = tables;
        this.news = news;
        this.evidence = evidence;
        this.calls = calls;
        this.serving = serving;
        this.clock = clock;
    }

    @Override
    public void connected(PeerConnection connection) {
        DaemonEntry peer = PeerMessages.daemon(connection.peer(), false);
        if (heard(peer) == DaemonDirectory.Change.REPLACED) {
            Logger.warn(
                    "peer: closed a connection of replaced incarnation {} of {}", peer.incarnation(), peer.daemon());
            connection.close();
            return;
        }
        news.recordAnswer();
        if (tables.isRelay(clock.getAsLong())) {
            news.sendSnapshot(connection);
        } else if (!connection.dialled()) {
            news.sendDirectory(connection);
        }
    }

    private DaemonDirectory.Change heard(DaemonEntry peer) {
        DaemonDirectory.Change change = tables.directory().recordMessage(clock.getAsLong(), peer);
        if (change == DaemonDirectory.Change.NEW || change == DaemonDirectory.Change.RESTARTED) {
            Logger.info(
                    "peer: {} of {} is {}",
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
            case CONFIG_UPDATE -> news.onPeerRelease(connection, frame.getConfigUpdate());
            case ASSIGNMENT_UPDATE -> news.onPeerAssignment(frame.getAssignmentUpdate());
            case VM_UPDATE -> news.onPeerVms(frame.getVmUpdate());
            case DIRECTORY_UPDATE ->
                PeerMessages.directory(frame.getDirectoryUpdate()).forEach(tables.directory()::recordListed);
            case LEAVING -> {
                heard(PeerMessages.daemon(connection.peer(), true));
                Logger.info("peer: {} is leaving", connection.peer().getDaemon());
            }
            case FORWARD, FORWARD_EVENT, FORWARD_END, FORWARD_CANCEL, SUSPECT -> calls.received(connection, frame);
            case HELLO, BODY_NOT_SET -> Logger.debug("peer: ignored a frame of kind {}", frame.getBodyCase());
        }
    }

    private void heartbeat(PeerConnection connection, Heartbeat heartbeat) {
        DaemonEntry peer = PeerMessages.daemon(connection.peer(), heartbeat.getLeaving());
        if (heard(peer) == DaemonDirectory.Change.REPLACED) {
            connection.close();
            return;
        }
        if (!peer.failureDomain().equals(tables.failureDomain())) {
            serving.record(peer.daemon(), heartbeat);
        }
        news.onHeartbeat(connection, heartbeat);
    }

    @Override
    public void disconnected(PeerConnection connection) {
        evidence.disconnected(connection);
        calls.disconnected(connection);
    }
}
