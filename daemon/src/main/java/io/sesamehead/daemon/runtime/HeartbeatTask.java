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
 * Sends heartbeats: each run to the peers of the failure domain, and every 5 s to the relays of the others and back to
 * the daemons that dialled this one.
 */
public final class HeartbeatTask implements Runnable {
    /** Interval towards other failure domains and of answers, in milliseconds. */
    static final long FAR_INTERVAL_MILLIS = 5_000;

    /** Daemons of other failure domains that were silent this long are forgotten, and so are restarted peers. */
    private static final long FORGET_AFTER_MILLIS = 120_000;

    private final DaemonTables tables;
    private final PeerMesh mesh;
    private final Broadcaster broadcast;
    private final PeerSelector targets;
    private final IntSupplier callsInFlight;
    private final long evidenceMaxAgeMillis;
    private final LongSupplier clock;
    private long farDueMillis;

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param mesh connections to peers
     * @param broadcast sends to peers
     * @param targets chooses the peers
     * @param callsInFlight number of calls that this daemon runs
     * @param evidenceMaxAgeMillis age up to which evidence is fresh, in milliseconds
     * @param clock monotonic clock, in milliseconds
     */
    public HeartbeatTask(
            DaemonTables tables,
            PeerMesh mesh,
            Broadcaster broadcast,
            PeerSelector targets,
            IntSupplier callsInFlight,
            long evidenceMaxAgeMillis,
            LongSupplier clock) {
        this.tables = tables;
        this.mesh = mesh;
        this.broadcast = broadcast;
        this.targets = targets;
        this.callsInFlight = callsInFlight;
        this.evidenceMaxAgeMillis = evidenceMaxAgeMillis;
        this.clock = clock;
    }

    @Override
    public void run() {
        long nowMillis = clock.getAsLong();
        tables.directory().evictSilent(nowMillis, FORGET_AFTER_MILLIS);
        mesh.setPeerAddresses(targets.select(nowMillis));
        broadcast.sendToLocalPeers(near());
        if (nowMillis >= farDueMillis) {
            farDueMillis = nowMillis + FAR_INTERVAL_MILLIS;
            Frame far = far(nowMillis);
            broadcast.remotePeers().forEach(connection -> connection.send(far));
            for (PeerConnection connection : mesh.accepted()) {
                connection.send(far);
            }
        }
    }

    private Frame near() {
        return Frame.newBuilder().setHeartbeat(base()).build();
    }

    private Frame far(long nowMillis) {
        Heartbeat.Builder heartbeat = base();
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

    private Heartbeat.Builder base() {
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
