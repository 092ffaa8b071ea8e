package io.sesamehead.proof.fleet;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Map;
import java.util.TreeMap;

/** The platform's VM list, which reflects leaving and removed VMs with a delay. */
final class PlatformVmList {
    private static final long MAX_LAG_MILLIS = 4_000;

    private final SimulationContext context;
    private final Map<VmId, Vm> listed = new TreeMap<>();

    PlatformVmList(SimulationContext context) {
        this.context = context;
    }

    void add(Vm vm) {
        listed.put(vm.id(), vm);
    }

    /** Lists a VM as leaving, or as no longer leaving, after a random delay. */
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
