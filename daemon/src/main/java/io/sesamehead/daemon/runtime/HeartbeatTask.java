package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.drain.ShutdownPhase;
import io.sesamehead.coordination.group.ServeDecision;
import io.sesamehead.coordination.group.ServeGate;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ControllerEpoch;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Heartbeat;
import io.sesamehead.daemon.transport.Broadcaster;
import io.sesamehead.daemon.transport.PeerConnection;
import io.sesamehead.daemon.transport.PeerMesh;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Sends heartbeats: on each run to the peers of the failure domain, and every 5 s to the relays of other failure domains
 * and over the connections that this daemon accepted.
 */
public final class HeartbeatTask implements Runnable {
    /** Interval of heartbeats to other failure domains and over accepted connections, in milliseconds. */
    static final long REMOTE_INTERVAL_MILLIS = 5_000;

    /** Silence after which daemons of other failure domains and restarted peers are evicted from the directory. */
    private static final long EVICT_AFTER_MILLIS = 120_000;

    private final DaemonTables tables;
    private final PeerMesh mesh;
    private final Broadcaster broadcast;
    private final PeerSelector selector;
    private final IntSupplier callsInFlight;
    private final long evidenceMaxAgeMillis;
    private final LongSupplier clock;
    private long remoteDueMillis;

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param mesh connections to peers
     * @param broadcast sends to peers
     * @param selector selects the peers to connect to
     * @param callsInFlight number of calls that this daemon is running
     * @param evidenceMaxAgeMillis maximum age of fresh evidence, in milliseconds
     * @param clock monotonic clock, in milliseconds
     */
    public HeartbeatTask(
            DaemonTables tables,
            PeerMesh mesh,
            Broadcaster broadcast,
            PeerSelector selector,
            IntSupplier callsInFlight,
            long evidenceMaxAgeMillis,
            LongSupplier clock) {
        this.tables = tables;
        this.mesh = mesh;
        this.broadcast = broadcast;
        this.selector = selector;
        this.callsInFlight = callsInFlight;
        this.evidenceMaxAgeMillis = evidenceMaxAgeMillis;
        this.clock = clock;
    }

    @Override
    public void run() {
        long nowMillis = clock.getAsLong();
        tables.directory().evictSilent(nowMillis, EVICT_AFTER_MILLIS);
        mesh.setPeerAddresses(selector.select(nowMillis));
        broadcast.sendToLocalPeers(localFrame());
        if (nowMillis >= remoteDueMillis) {
            remoteDueMillis = nowMillis + REMOTE_INTERVAL_MILLIS;
            Frame remoteFrame = remoteFrame(nowMillis);
            broadcast.remotePeers().forEach(connection -> connection.send(remoteFrame));
            for (PeerConnection connection : mesh.accepted()) {
                connection.send(remoteFrame);
            }
        }
    }

    private Frame localFrame() {
        return Frame.newBuilder().setHeartbeat(newHeartbeat()).build();
    }

    private Frame remoteFrame(long nowMillis) {
        Heartbeat.Builder heartbeat = newHeartbeat();
        tables
                .assignments()
                .assignment(tables.failureDomain())
                .map(GroupAssignment::groups)
                .orElse(ImmutableList.of())
                .stream()
                .filter(group -> serves(nowMillis, group))
                .map(group -> group.service().value())
                .distinct()
                .forEach(heartbeat::addServing);
        return Frame.newBuilder().setHeartbeat(heartbeat).build();
    }

    private boolean serves(long nowMillis, Group group) {
        return ServeGate.decide(nowMillis, group, tables.evidence()::evidence, evidenceMaxAgeMillis)
                instanceof ServeDecision.Serve;
    }

    private Heartbeat.Builder newHeartbeat() {
        Heartbeat.Builder heartbeat = Heartbeat.newBuilder()
                .setConfigGeneration(tables.config().generation().value())
                .setLoad(callsInFlight.getAsInt())
                .setLeaving(tables.shutdown().phase() != ShutdownPhase.RUNNING);
        tables.assignments()
                .assignment(tables.failureDomain())
                .ifPresent(own -> heartbeat.addControllerEpochs(ControllerEpoch.newBuilder()
                        .setFailureDomain(own.failureDomain().value())
                        .setEpoch(own.controllerEpoch())
                        .setAssignmentVersion(own.version())));
        return heartbeat;
    }
}
