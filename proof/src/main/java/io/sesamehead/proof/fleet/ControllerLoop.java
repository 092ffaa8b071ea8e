package io.sesamehead.proof.fleet;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.group.Controller;
import io.sesamehead.coordination.group.ControllerAction;
import io.sesamehead.coordination.group.ControllerView;
import io.sesamehead.coordination.lease.HeldLease;
import io.sesamehead.proof.FakeStore.StoreResponse;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.VmId;
import java.util.Optional;

/** Steps the controller of one daemon while it holds the lease, and carries out what it decides. */
final class ControllerLoop {
    private static final long INTERVAL_MILLIS = 300;

    private final FleetSimulation simulation;
    private final FleetDaemon daemon;
    private final Controller controller = new Controller(FleetSimulation.DOMAIN, FleetTimings.CONTROLLER);
    private final OrderSender orderSender;
    private Optional<StoredAssignment> storedAssignment = Optional.empty();
    private long storedUnderEpoch;
    private boolean storeCallInFlight;

    private record StoredAssignment(GroupAssignment assignment, long version) {}

    ControllerLoop(FleetSimulation world, FleetDaemon daemon) {
        this.simulation = world;
        this.daemon = daemon;
        this.orderSender = new OrderSender(world, daemon, controller);
    }

    void start() {
        daemon.node().process().every(INTERVAL_MILLIS, this::step);
    }

    private void step() {
        Optional<HeldLease> lease = daemon.lease().heldLease();
        if (lease.isEmpty()) {
            storedAssignment = Optional.empty();
            return;
        }
        if (storeCallInFlight || daemon.vms().isEmpty()) {
            return;
        }
        if (storedAssignment.isEmpty() || storedUnderEpoch != lease.get().epoch()) {
            readAssignment(lease.get().epoch());
            return;
        }
        ControllerView view = new ControllerView(
                lease,
                daemon.node().inForce(),
                storedAssignment.get().assignment(),
                daemon.vms().values().asList(),
                evidence());
        try {
            controller.step(daemon.clock(), view).forEach(this::execute);
        } catch (IllegalStateException e) {
            simulation.checker().controllerFailed(e.getMessage());
        }
    }

    /** The broken form takes every VM for idle that holds no place of the stored assignment. */
    private ImmutableMap<VmId, Evidence> evidence() {
        ImmutableMap<VmId, Evidence> seen = daemon.evidence().snapshot();
        if (!simulation.context().isDisabled(Mechanism.LEASE_WAIT_AND_IDLE_CHECK)) {
            return seen;
        }
        ImmutableMap.Builder<VmId, Evidence> assumed = ImmutableMap.builder();
        assumed.putAll(seen);
        daemon.vms().keySet().stream()
                .filter(vm -> isAssumedIdle(vm, Optional.ofNullable(seen.get(vm))))
                .forEach(vm -> assumed.put(vm, idleEvidence(vm, daemon.clock())));
        return assumed.buildKeepingLast();
    }

    private boolean isAssumedIdle(VmId vm, Optional<Evidence> seen) {
        Optional<Group> group = storedAssignment.orElseThrow().assignment().groups().stream()
                .filter(it -> it.contains(vm))
                .findFirst();
        boolean holdsPlace = seen.isPresent()
                && seen.get() instanceof Evidence.Reported reported
                && reported.report().group().equals(group.map(Group::id))
                && reported.report().epoch().equals(group.map(Group::epoch).orElse(Epoch.NONE));
        boolean wanted = group.isEmpty() || group.get().state() == GroupState.FORMING;
        return wanted && !holdsPlace;
    }

    private static Evidence idleEvidence(VmId vm, long nowMillis) {
        MemberReport report = new MemberReport(
                vm, new Incarnation(0), Optional.empty(), Epoch.NONE, EngineState.IDLE, Optional.empty(), 0, 0, 0);
        return new Evidence.Reported(report, nowMillis);
    }

    private void readAssignment(long epoch) {
        storeCallInFlight = true;
        daemon.node().store().read(FleetDaemon.ASSIGNMENT_OBJECT, answer -> {
            storeCallInFlight = false;
            storedUnderEpoch = epoch;
            storedAssignment = switch (answer) {
                case StoreResponse.Found found ->
                    Optional.of(new StoredAssignment(
                            (GroupAssignment) StoredObject.from(found.object()).content(),
                            found.object().version()));
                case StoreResponse.Missing missing ->
                    Optional.of(new StoredAssignment(GroupAssignment.empty(FleetSimulation.DOMAIN), 0));
                default -> Optional.empty();
            };
            storedAssignment.ifPresent(it -> daemon.adoptStoredAssignment(it.assignment()));
        });
    }

    private void execute(ControllerAction action) {
        switch (action) {
            case ControllerAction.WriteAssignment write -> writeAssignment(write.assignment());
            case ControllerAction.ReadStatus read -> daemon.prober().probe(read.vm());
            case ControllerAction.Order order -> orderSender.send(order);
        }
    }

    private void writeAssignment(GroupAssignment assignment) {
        if (!daemon.lease().maySend()) {
            return;
        }
        storeCallInFlight = true;
        StoredObject value = StoredObject.of(assignment, daemon.node().store().nextToken());
        long base = storedAssignment.orElseThrow().version();
        daemon.node().store().write(FleetDaemon.ASSIGNMENT_OBJECT, base, value, outcome -> {
            storeCallInFlight = false;
            if (outcome instanceof WriteOutcome.Accepted accepted) {
                storedAssignment = Optional.of(new StoredAssignment(assignment, accepted.version()));
                daemon.adoptStoredAssignment(assignment);
            } else {
                storedAssignment = Optional.empty();
            }
        });
    }
}
