package io.sesamehead.proof.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.membership.ProbeAssignment;
import io.sesamehead.state.AgedEvidence;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Optional;

/** Reads the status of the engines that are assigned to a daemon and tells its peers. */
final class EngineProber {
    private static final long INTERVAL_MILLIS = 900;
    private static final long TIMEOUT_MILLIS = 800;

    private final FleetSimulation simulation;
    private final FleetDaemon daemon;

    EngineProber(FleetSimulation world, FleetDaemon daemon) {
        this.simulation = world;
        this.daemon = daemon;
    }

    void start() {
        daemon.node().process().every(INTERVAL_MILLIS, this::probeAssigned);
    }

    void probe(Vm vm) {
        long beforeMillis = daemon.clock();
        OneShotConsumer<Optional<MemberReport>> once =
                new OneShotConsumer<>(report -> record(vm.id(), report, beforeMillis));
        Engine engine = simulation.engine(vm.id());
        simulation.sendToEngine(daemon, engine, 0, () -> {
            MemberReport report = engine.report();
            simulation.sendFromEngine(engine, daemon, () -> once.accept(Optional.of(report)));
        });
        daemon.node().process().after(TIMEOUT_MILLIS, () -> once.accept(Optional.empty()));
    }

    /** Records what an engine said; a change is sent to the peers at once. */
    void record(VmId vm, Optional<MemberReport> report, long observedAtMillis) {
        Evidence evidence = report.<Evidence>map(it -> new Evidence.Reported(it, observedAtMillis))
                .orElseGet(() -> new Evidence.Unreachable(vm, observedAtMillis));
        boolean changed = daemon.evidence().record(evidence);
        daemon.observeLeaving(vm);
        if (changed) {
            send(daemon.evidence().takeChanged(daemon.clock()));
        }
    }

    private void probeAssigned() {
        long nowMillis = daemon.clock();
        ImmutableSet<VmId> assigned = ProbeAssignment.assignedTo(
                daemon.id(),
                daemon.vms().keySet(),
                daemon.node().directory().liveIds(nowMillis, FleetSimulation.DOMAIN));
        send(daemon.evidence().digest(nowMillis, assigned));
        assigned.forEach(vm -> probe(daemon.vms().get(vm)));
    }

    private void send(ImmutableList<AgedEvidence> items) {
        if (!items.isEmpty()) {
            daemon.sendToPeers(peer -> peer.merge(daemon.id(), items));
        }
    }
}
