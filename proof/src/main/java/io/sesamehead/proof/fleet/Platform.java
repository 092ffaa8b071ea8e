package io.sesamehead.proof.fleet;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Map;
import java.util.TreeMap;

/** The platform's list of VMs, which follows the truth late. */
final class Platform {
    private static final long LONGEST_LAG_MILLIS = 4_000;

    private final Simulation sim;
    private final Map<VmId, Vm> listed = new TreeMap<>();

    Platform(Simulation sim) {
        this.sim = sim;
    }

    void add(Vm vm) {
        listed.put(vm.id(), vm);
    }

    /** Announces that a VM leaves, or that it no longer does. */
    void announce(VmId id, boolean leaving) {
        sim.queue()
                .after(
                        sim.between(0, LONGEST_LAG_MILLIS),
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
        sim.queue().after(sim.between(0, LONGEST_LAG_MILLIS), () -> listed.remove(id));
    }

    ImmutableList<Vm> list() {
        return ImmutableList.copyOf(listed.values());
    }
}
