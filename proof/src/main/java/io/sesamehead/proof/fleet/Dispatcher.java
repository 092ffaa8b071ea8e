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

    private final FleetWorld world;
    private final FleetDaemon daemon;

    Dispatcher(FleetWorld world, FleetDaemon daemon) {
        this.world = world;
        this.daemon = daemon;
    }

    void start() {
        daemon.node().process().every(INTERVAL_MILLIS, () -> serving().forEach(this::dispatch));
    }

    /** Returns the groups that take new work. */
    List<Group> serving() {
        return daemon.assignments().groups(FleetWorld.DOMAIN, Releases.SERVICE).stream()
                .filter(this::takesWork)
                .toList();
    }

    private boolean takesWork(Group group) {
        if (world.sim().off(Mechanism.EVIDENCE_GATE)) {
            return group.state() == GroupState.SERVING;
        }
        boolean complete = ServeGate.decide(daemon.clock(), group, this::evidence, FleetTimes.EVIDENCE_MAX_AGE_MILLIS)
                instanceof ServeDecision.Serve;
        return complete && group.members().stream().noneMatch(member -> isLeaving(member.vm()));
    }

    private boolean isLeaving(VmId vm) {
        if (world.sim().off(Mechanism.LEAVING_EXCLUSION)) {
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
        boolean hidden = world.sim().off(Mechanism.LEAVING_EXCLUSION)
                && seen.isPresent()
                && seen.get() instanceof Evidence.Reported reported
                && reported.report().state() == EngineState.LEAVING;
        return hidden ? seen.map(it -> ready((Evidence.Reported) it)) : seen;
    }

    private static Evidence ready(Evidence.Reported it) {
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
        world.checks().dispatched(daemon, group);
        Engine head = world.engine(group.head().vm());
        long sentMillis = world.sim().nowMillis();
        daemon.node()
                .process()
                .after(
                        1,
                        () -> world.toEngine(daemon, head, 0, () -> {
                            if (head.executes(group.id(), group.epoch())) {
                                world.checks().executed(head, group, sentMillis);
                            }
                        }));
    }
}
