package io.sesamehead.proof.fleet;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Map;
import java.util.TreeMap;

/** The platform's list of VMs, which follows the truth late. */
final class PlatformVmList {
    private static final long MAX_LAG_MILLIS = 4_000;

    private final SimulationContext context;
    private final Map<VmId, Vm> listed = new TreeMap<>();

    PlatformVmList(SimulationContext sim) {
        this.context = sim;
    }

    void add(Vm vm) {
        listed.put(vm.id(), vm);
    }

    /** Announces that a VM leaves, or that it no longer does. */
    void setLeaving(VmId id, boolean leaving) {
        context.queue()
                .after(
                        context.randomMillis(0, MAX_LAG_MILLIS),
                        () -> listed.computeIfPresent(
                                id,
                                (key, vm) -> new Vm(
                                        vm.id(),
                                        vm.failureDomain(),
                                        vm.fabricDomain(),
                                        vm.accelerators(),
                                        vm.acceleratorMemoryGb(),
                                        vm.engineAddress(),
                                        leaving)));
    }

    void remove(VmId id) {
        context.queue().after(context.randomMillis(0, MAX_LAG_MILLIS), () -> listed.remove(id));
    }

    ImmutableList<Vm> list() {
        return ImmutableList.copyOf(listed.values());
    }
}
