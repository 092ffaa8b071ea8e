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

    private final FleetWorld world;
    private final FleetDaemon daemon;
    private final Controller controller = new Controller(FleetWorld.DOMAIN, FleetTimes.CONTROLLER);
    private final OrderSending orders;
    private Optional<Stored> stored = Optional.empty();
    private long storedForEpoch;
    private boolean busy;

    private record Stored(GroupAssignment assignment, long version) {}

    ControllerLoop(FleetWorld world, FleetDaemon daemon) {
        this.world = world;
        this.daemon = daemon;
        this.orders = new OrderSending(world, daemon, controller);
    }

    void start() {
        daemon.node().process().every(INTERVAL_MILLIS, this::step);
    }

    private void step() {
        Optional<HeldLease> lease = daemon.lease().view();
        if (lease.isEmpty()) {
            stored = Optional.empty();
            return;
        }
        if (busy || daemon.vms().isEmpty()) {
            return;
        }
        if (stored.isEmpty() || storedForEpoch != lease.get().epoch()) {
            read(lease.get().epoch());
            return;
        }
        ControllerView view = new ControllerView(
                lease,
                daemon.node().inForce(),
                stored.get().assignment(),
                daemon.vms().values().asList(),
                evidence());
        try {
            controller.step(daemon.clock(), view).forEach(this::carryOut);
        } catch (IllegalStateException e) {
            world.checks().planFailed(e.getMessage());
        }
    }

    /** The broken form takes every VM for idle that holds no place of the stored assignment. */
    private ImmutableMap<VmId, Evidence> evidence() {
        ImmutableMap<VmId, Evidence> seen = daemon.evidence().snapshot();
        if (!world.sim().off(Mechanism.LEASE_WAIT_AND_IDLE_CHECK)) {
            return seen;
        }
        ImmutableMap.Builder<VmId, Evidence> assumed = ImmutableMap.builder();
        assumed.putAll(seen);
        daemon.vms().keySet().stream()
                .filter(vm -> isAssumedIdle(vm, Optional.ofNullable(seen.get(vm))))
                .forEach(vm -> assumed.put(vm, idle(vm, daemon.clock())));
        return assumed.buildKeepingLast();
    }

    private boolean isAssumedIdle(VmId vm, Optional<Evidence> seen) {
        Optional<Group> group = stored.orElseThrow().assignment().groups().stream()
                .filter(it -> it.contains(vm))
                .findFirst();
        boolean holdsPlace = seen.isPresent()
                && seen.get() instanceof Evidence.Reported reported
                && reported.report().group().equals(group.map(Group::id))
                && reported.report().epoch().equals(group.map(Group::epoch).orElse(Epoch.NONE));
        boolean wanted = group.isEmpty() || group.get().state() == GroupState.FORMING;
        return wanted && !holdsPlace;
    }

    private static Evidence idle(VmId vm, long nowMillis) {
        MemberReport report = new MemberReport(
                vm, new Incarnation(0), Optional.empty(), Epoch.NONE, EngineState.IDLE, Optional.empty(), 0, 0, 0);
        return new Evidence.Reported(report, nowMillis);
    }

    private void read(long epoch) {
        busy = true;
        daemon.node().store().read(FleetDaemon.ASSIGNMENT, answer -> {
            busy = false;
            storedForEpoch = epoch;
            stored = switch (answer) {
                case StoreResponse.Found found ->
                    Optional.of(new Stored(
                            (GroupAssignment) StoredObject.in(found.object()).content(),
                            found.object().version()));
                case StoreResponse.Missing missing ->
                    Optional.of(new Stored(GroupAssignment.empty(FleetWorld.DOMAIN), 0));
                default -> Optional.empty();
            };
            stored.ifPresent(it -> daemon.storedAssignment(it.assignment()));
        });
    }

    private void carryOut(ControllerAction action) {
        switch (action) {
            case ControllerAction.WriteAssignment write -> write(write.assignment());
            case ControllerAction.ReadStatus read -> daemon.probing().probe(read.vm());
            case ControllerAction.Order order -> orders.send(order);
        }
    }

    private void write(GroupAssignment assignment) {
        if (!daemon.lease().maySend()) {
            return;
        }
        busy = true;
        StoredObject value = StoredObject.of(assignment, daemon.node().store().nextToken());
        long base = stored.orElseThrow().version();
        daemon.node().store().write(FleetDaemon.ASSIGNMENT, base, value, outcome -> {
            busy = false;
            if (outcome instanceof WriteOutcome.Accepted accepted) {
                stored = Optional.of(new Stored(assignment, accepted.version()));
                daemon.storedAssignment(assignment);
            } else {
                stored = Optional.empty();
            }
        });
    }
}
