package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.group.ControllerAction;
import io.sesamehead.proof.FakeStore.VersionedValue;
import io.sesamehead.proof.Invariant;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** Judges the invariants of a fleet by the true state of the engines and the store. */
final class FleetInvariantChecker {
    /** Evidence may be as old as the gate allows, by a clock that drifts, and its message took time to be read. */
    private static final long EVIDENCE_BOUND_MILLIS = FleetTimings.EVIDENCE_MAX_AGE_MILLIS
            + FleetTimings.LEASE.maxClockDriftMillis()
            + FleetTimings.MAX_DELIVERY_MILLIS;

    /** A longer time from the check to the send, with the largest delays, is above the longest order time. */
    private static final long MAX_PROMPT_SEND_MILLIS = FleetTimings.LEASE.longestOrderMillis()
            - FleetTimings.MAX_EXTRA_DELAY_MILLIS
            - FleetTimings.MAX_ORDER_DELAY_MILLIS
            - 5;

    private final FleetSimulation simulation;
    private final Invariant invariant;
    private final Map<VmId, List<LeavingReport>> leaving = new HashMap<>();
    private final Map<DaemonId, Long> undisturbedSinceMillis = new HashMap<>();
    private final Map<VmId, Epoch> lateOrderEpochs = new HashMap<>();
    private int executions;
    private int lateOrders;

    private record LeavingReport(long atMillis, DaemonId daemon) {}

    FleetInvariantChecker(FleetSimulation world, Invariant invariant) {
        this.simulation = world;
        this.invariant = invariant;
    }

    /** Opens a time in which reports that a VM leaves are true. */
    void leavingStarted(VmId vm) {
        leaving.put(vm, new ArrayList<>());
    }

    void leavingEnded(VmId vm) {
        leaving.remove(vm);
    }

    void leavingReported(VmId vm, DaemonId daemon) {
        if (leaving.containsKey(vm)) {
            leaving.get(vm).add(new LeavingReport(simulation.context().nowMillis(), daemon));
        }
    }

    void disturbanceChanged(DaemonId daemon, boolean isDisturbed) {
        undisturbedSinceMillis.put(
                daemon, isDisturbed ? Long.MAX_VALUE : simulation.context().nowMillis());
    }

    int executions() {
        return executions;
    }

    /**
     * Orders that a holder sent after it stood still between check and send, and that changed a newer place. An engine
     * that ignores fencing numbers cannot be kept from this; such a place must be noticed and given up.
     */
    int lateOrders() {
        return lateOrders;
    }

    void checkDispatch(FleetDaemon daemon, Group group) {
        for (Group.Member member : group.members()) {
            Engine engine = simulation.engine(member.vm());
            boolean held = engine.wasReadySince(
                    simulation.context().nowMillis() - EVIDENCE_BOUND_MILLIS, group, member.engine());
            check(
                    held,
                    Invariant.WHOLE_GROUP,
                    () -> daemon.name() + " sends to " + describe(group) + " without " + member.vm());
            check(
                    !isLeavingBeyondBound(daemon.id(), member.vm()),
                    Invariant.LEAVING,
                    () -> daemon.name() + " sends to " + describe(group) + " while " + member.vm() + " is leaving");
        }
    }

    private boolean isLeavingBeyondBound(DaemonId daemon, VmId vm) {
        long nowMillis = simulation.context().nowMillis();
        return leaving.getOrDefault(vm, List.of()).stream()
                .anyMatch(report -> nowMillis - report.atMillis > FleetTimings.LEAVING_BOUND_MILLIS
                        && undisturbedSinceMillis.getOrDefault(daemon, 0L) < report.atMillis
                        && undisturbedSinceMillis.getOrDefault(report.daemon, 0L) < report.atMillis);
    }

    /**
     * Judges work that the head of a group began. Work that waited in a head which stood still is cancelled by its
     * daemon and not judged by the places of the other members.
     */
    void checkExecution(Engine head, Group group, long sentMillis) {
        executions++;
        check(
                head.isMemberOf(group),
                Invariant.WHOLE_GROUP,
                () -> head.vm().id() + " runs work of " + describe(group) + " in another place");
        boolean waited = simulation.context().nowMillis() - sentMillis > FleetTimings.MAX_DELIVERY_MILLIS;
        for (Group.Member member : group.members()) {
            Engine engine = simulation.engine(member.vm());
            boolean elsewhere = !waited
                    && !engine.group().equals(Optional.of(group.id()))
                    && engine.assignedGroup().filter(this::isFormed).isPresent();
            check(
                    !elsewhere,
                    Invariant.ONE_GROUP,
                    () -> describe(group) + " runs work while " + member.vm() + " serves in " + engine.group());
        }
    }

    /** Judges an order as it reaches an engine. */
    void checkOrder(Engine engine, ControllerAction.Order order, long checkedMillis, long sentMillis) {
        if (!engine.wouldChange(order)) {
            return;
        }
        boolean older = order.epoch().controllerEpoch() < engine.epoch().controllerEpoch();
        boolean takesOver = order instanceof ControllerAction.SendLoad load
                && engine.group().filter(id -> !id.equals(load.group().id())).isPresent();
        if (sentMillis - checkedMillis > MAX_PROMPT_SEND_MILLIS) {
            checkLateOrder(engine, order, older, takesOver);
            return;
        }
        boolean fromLateOrder =
                engine.epoch().equals(lateOrderEpochs.get(engine.vm().id()));
        check(!older, Invariant.ONE_GROUP, () -> order.orderId() + " of an older lease changes " + describe(engine));
        check(
                !takesOver || fromLateOrder,
                Invariant.ONE_GROUP,
                () -> order.orderId() + " takes a VM out of " + describe(engine));
    }

    /**
     * An engine that does not know the newer lease takes the late order, and only an engine that checks fencing numbers
     * is kept from it otherwise. The place that it gives is not one that the assignment holds, so the present holder
     * may take the VM out of it.
     */
    private void checkLateOrder(Engine engine, ControllerAction.Order order, boolean older, boolean takesOver) {
        check(
                !(older && engine.checksFencing()),
                Invariant.ONE_GROUP,
                () -> order.orderId() + " passed the fencing of " + describe(engine));
        lateOrders += older || takesOver ? 1 : 0;
        lateOrderEpochs.put(engine.vm().id(), order.epoch());
    }

    void controllerFailed(String detail) {
        check(false, Invariant.ONE_GROUP, () -> "the plan failed: " + detail);
    }

    /** Judges the stored assignment and the true places of all engines. */
    void checkAssignments() {
        simulation
                .context()
                .store()
                .peek(FleetDaemon.ASSIGNMENT_OBJECT)
                .map(VersionedValue::value)
                .map(value -> (GroupAssignment) ((StoredObject) value).content())
                .ifPresent(it -> checkDisjoint(it.groups(), "stored"));
        Set<Group> formed = new HashSet<>();
        for (Engine engine : simulation.engines()) {
            engine.assignedGroup().filter(this::isFormed).ifPresent(formed::add);
        }
        checkDisjoint(formed, "formed");
    }

    /** Checks in a quiet phase that every wanted group serves at every daemon. */
    void checkLiveness(List<FleetDaemon> daemons) {
        for (FleetDaemon daemon : daemons) {
            int serving = new Dispatcher(simulation, daemon).servingGroups().size();
            check(
                    serving >= ReleaseFactory.REPLICAS,
                    invariant,
                    () -> "not alive: " + serving + " groups serve at " + daemon.name());
        }
        check(executions > 0, invariant, () -> "not alive: no work was run");
    }

    private void checkDisjoint(Iterable<Group> groups, String kind) {
        Map<VmId, Group> seen = new HashMap<>();
        for (Group group : groups) {
            for (Group.Member member : group.members()) {
                Group other = seen.put(member.vm(), group);
                check(
                        other == null || isSameGroup(group, other),
                        Invariant.ONE_GROUP,
                        () -> member.vm() + " is in two " + kind + " groups: " + describe(group) + ", "
                                + describe(other));
            }
        }
    }

    /** The members' incarnations are not yet known in some orders of a group. */
    private static boolean isSameGroup(Group one, Group other) {
        return one.id().equals(other.id()) && one.epoch().equals(other.epoch());
    }

    private boolean isFormed(Group group) {
        return group.members().stream().allMatch(member -> {
            Engine engine = simulation.engine(member.vm());
            return engine.isMemberOf(group) && engine.loaded();
        });
    }

    private void check(boolean holds, Invariant about, Supplier<String> detail) {
        if (about == invariant) {
            String text = holds ? "" : detail.get();
            simulation
                    .context()
                    .record()
                    .check(holds, about, simulation.context().nowMillis(), text);
        }
    }

    private static String describe(Engine engine) {
        return engine.vm().id() + " in " + engine.group() + " epoch "
                + engine.epoch().controllerEpoch() + "." + engine.epoch().counter();
    }

    private static String describe(Group group) {
        return group.id() + " epoch " + group.epoch().controllerEpoch() + "."
                + group.epoch().counter();
    }
}
