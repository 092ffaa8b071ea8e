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

/** Checks the fleet invariants against the actual state of the engines and the store. */
final class FleetInvariantChecker {
    /** Maximum age of evidence that the gate accepts, plus clock drift and message delivery time. */
    private static final long EVIDENCE_BOUND_MILLIS = FleetTimings.EVIDENCE_MAX_AGE_MILLIS
            + FleetTimings.LEASE.maxClockDriftMillis()
            + FleetTimings.MAX_DELIVERY_MILLIS;

    /** With a longer time from check to send, the maximum delays would exceed the longest order time. */
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

    FleetInvariantChecker(FleetSimulation simulation, Invariant invariant) {
        this.simulation = simulation;
        this.invariant = invariant;
    }

    /** Starts a period in which reports that the VM is leaving are correct. */
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
     * Returns the number of orders that changed a newer assignment after their sender, a lease holder, was frozen
     * between check and send. An engine that ignores fencing tokens cannot reject such an order; the resulting
     * assignment must be detected and released.
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
     * Checks work that the head of a group started. If the head was frozen before it ran the work, the daemon cancels
     * the work, so the assignments of the other members are not checked.
     */
    void checkExecution(Engine head, Group group, long sentMillis) {
        executions++;
        check(
                head.isMemberOf(group),
                Invariant.WHOLE_GROUP,
                () -> head.vm().id() + " runs work of " + describe(group) + " without holding that group and epoch");
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

    /** Checks an order before an engine applies it. */
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
     * Checks an order sent too long after its lease check. An engine that has not seen the newer lease applies it;
     * after that, only an engine that checks fencing tokens rejects it. The resulting placement is not in the stored
     * assignment, so the current lease holder may take the VM out of it.
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
        check(false, Invariant.ONE_GROUP, () -> "the controller step failed: " + detail);
    }

    /** Checks that no VM is in two groups, in the stored assignment and among the groups that actually formed. */
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

    /**
     * Checks, in a phase without faults, that every daemon can use the desired number of groups and that work was run.
     */
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

    /**
     * Compares ID and epoch only, because some orders of a group do not yet contain the incarnations of its members.
     */
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
