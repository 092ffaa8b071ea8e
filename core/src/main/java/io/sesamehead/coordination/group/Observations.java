package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.lease.HeldLease;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.Group;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Collection;
import java.util.Optional;

/** What the controller may conclude about VMs in one step. */
final class Observations {
    private final long nowMillis;
    private final HeldLease lease;
    private final ImmutableMap<VmId, Vm> listed;
    private final ImmutableMap<VmId, Evidence> evidence;
    private final ImmutableSet<VmId> drained;
    private final ControllerSettings settings;
    private final OrderTracker orderTracker;

    Observations(
            long nowMillis,
            HeldLease lease,
            ControllerView view,
            ControllerSettings settings,
            OrderTracker orderTracker) {
        this.nowMillis = nowMillis;
        this.lease = lease;
        this.listed = view.vms().stream().collect(ImmutableMap.toImmutableMap(Vm::id, vm -> vm, (a, b) -> b));
        this.evidence = view.evidence();
        this.drained = view.release().map(AcceptedRelease::drained).orElse(ImmutableSet.of());
        this.settings = settings;
        this.orderTracker = orderTracker;
    }

    long nowMillis() {
        return nowMillis;
    }

    Optional<Vm> listed(VmId vm) {
        return Optional.ofNullable(listed.get(vm));
    }

    ImmutableList<Vm> listed() {
        return listed.values().asList();
    }

    /** VMs of which nothing was learned since the lease was taken; before that, nothing is ordered. */
    ImmutableList<Vm> unobservedSinceLease() {
        return listed.values().stream()
                .filter(vm -> !observedSinceLease(vm.id()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the fresh report of a VM, or empty when it does not answer. */
    Optional<MemberReport> freshReport(VmId vm) {
        return evidence.get(vm) instanceof Evidence.Reported reported && isFresh(reported)
                ? Optional.of(reported.report())
                : Optional.empty();
    }

    /** Returns the fresh report of a VM if no order sent before can have changed the VM since. */
    Optional<MemberReport> settledReport(VmId vm) {
        Evidence last = evidence.get(vm);
        return last != null && orderTracker.observedAfterOrders(last.observedAtMillis(), vm)
                ? freshReport(vm)
                : Optional.empty();
    }

    boolean observedSince(VmId vm, long sinceMillis) {
        Evidence last = evidence.get(vm);
        return last != null && last.observedAtMillis() >= sinceMillis;
    }

    boolean isLeaving(VmId vm) {
        boolean announced = listed(vm).map(Vm::leaving).orElse(false);
        boolean reported =
                freshReport(vm).map(it -> it.state() == EngineState.LEAVING).orElse(false);
        return announced || reported || drained.contains(vm);
    }

    /** A VM that is neither listed nor answers does not come back. */
    boolean isGone(VmId vm) {
        return !listed.containsKey(vm) && freshReport(vm).isEmpty();
    }

    /** Returns the VMs that may be taken into a group: idle by their own word, and in none of these groups. */
    ImmutableList<Vm> freeVms(Collection<Group> groups) {
        return listed.values().stream()
                .filter(vm -> isFree(vm.id()))
                .filter(vm -> groups.stream().noneMatch(group -> group.contains(vm.id())))
                .collect(ImmutableList.toImmutableList());
    }

    boolean orderInFlight(VmId vm) {
        return orderTracker.inFlight(nowMillis, vm);
    }

    private boolean isFree(VmId vm) {
        boolean idle = settledReport(vm)
                .map(it -> it.state() == EngineState.IDLE && it.group().isEmpty())
                .orElse(false);
        return idle && observedSinceLease(vm) && !isLeaving(vm) && !orderInFlight(vm);
    }

    private boolean observedSinceLease(VmId vm) {
        return observedSince(vm, lease.heldSinceMillis());
    }

    private boolean isFresh(Evidence it) {
        return nowMillis - it.observedAtMillis() <= settings.evidenceMaxAgeMillis();
    }
}
