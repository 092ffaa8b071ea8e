package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.group.ServeDecision;
import io.sesamehead.coordination.group.ServeGate;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.VmId;
import java.util.List;
import java.util.Optional;

/** Sends work of one daemon to every group that may take it. */
final class Dispatcher {
    private static final long INTERVAL_MILLIS = 150;

    private final FleetSimulation simulation;
    private final FleetDaemon daemon;

    Dispatcher(FleetSimulation world, FleetDaemon daemon) {
        this.simulation = world;
        this.daemon = daemon;
    }

    void start() {
        daemon.node().process().every(INTERVAL_MILLIS, () -> servingGroups().forEach(this::dispatch));
    }

    /** Returns the groups that take new work. */
    List<Group> servingGroups() {
        return daemon.assignments().groups(FleetSimulation.DOMAIN, ReleaseFactory.SERVICE).stream()
                .filter(this::acceptsWork)
                .toList();
    }

    private boolean acceptsWork(Group group) {
        if (simulation.context().isDisabled(Mechanism.EVIDENCE_GATE)) {
            return group.state() == GroupState.SERVING;
        }
        boolean complete = ServeGate.decide(daemon.clock(), group, this::evidence, FleetTimings.EVIDENCE_MAX_AGE_MILLIS)
                instanceof ServeDecision.Serve;
        return complete && group.members().stream().noneMatch(member -> isLeaving(member.vm()));
    }

    private boolean isLeaving(VmId vm) {
        if (simulation.context().isDisabled(Mechanism.LEAVING_EXCLUSION)) {
            return false;
        }
        boolean drained = daemon.node()
                .inForce()
                .map(AcceptedRelease::drained)
                .map(all -> all.contains(vm))
                .orElse(false);
        return drained || daemon.drain().isLeaving(vm);
    }

    /** The broken form of leaving takes an engine that leaves for ready. */
    private Optional<Evidence> evidence(VmId vm) {
        Optional<Evidence> seen = daemon.evidence().evidence(vm);
        boolean hidden = simulation.context().isDisabled(Mechanism.LEAVING_EXCLUSION)
                && seen.isPresent()
                && seen.get() instanceof Evidence.Reported reported
                && reported.report().state() == EngineState.LEAVING;
        return hidden ? seen.map(it -> asReady((Evidence.Reported) it)) : seen;
    }

    private static Evidence asReady(Evidence.Reported it) {
        MemberReport report = it.report();
        MemberReport changed = new MemberReport(
                report.vm(),
                report.engine(),
                report.group(),
                report.epoch(),
                EngineState.READY,
                report.model(),
                0,
                0,
                0);
        return new Evidence.Reported(changed, it.observedAtMillis());
    }

    private void dispatch(Group group) {
        simulation.checker().checkDispatch(daemon, group);
        Engine head = simulation.engine(group.head().vm());
        long sentMillis = simulation.context().nowMillis();
        daemon.node()
                .process()
                .after(
                        1,
                        () -> simulation.sendToEngine(daemon, head, 0, () -> {
                            if (head.canExecute(group.id(), group.epoch())) {
                                simulation.checker().checkExecution(head, group, sentMillis);
                            }
                        }));
    }
}
