package io.sesamehead.coordination.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.VmId;
import java.util.Collection;

/** Splits the probing of VMs among the live daemons of their failure domain, by rendezvous hash. */
public final class ProbeAssignment {
    /** Two probers, so that the evidence stays fresh while the death of one is being detected. */
    public static final int PROBERS_PER_VM = 2;

    private ProbeAssignment() {}

    /**
     * Returns the daemons that probe a VM.
     *
     * @param vm the VM
     * @param live live daemons of its failure domain
     * @return up to two daemons
     */
    public static ImmutableList<DaemonId> probers(VmId vm, Collection<DaemonId> live) {
        return RendezvousHash.top("probe:" + vm.value(), live, PROBERS_PER_VM);
    }

    /**
     * Returns the VMs that a daemon probes.
     *
     * @param daemon the daemon
     * @param vms all VMs of its failure domain
     * @param live live daemons of the failure domain, with the daemon itself
     * @return the VMs
     */
    public static ImmutableSet<VmId> assignedTo(DaemonId daemon, Collection<VmId> vms, Collection<DaemonId> live) {
        return vms.stream().filter(vm -> probers(vm, live).contains(daemon)).collect(ImmutableSet.toImmutableSet());
    }
}
