package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.drain.DrainTable;
import io.sesamehead.coordination.drain.LeavingSource;
import io.sesamehead.state.EvidenceTable;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Optional;

/**
 * The platform's list of VMs of this failure domain. Its monitor guards the order of two updates; the evidence table
 * (place 3) and the drain table are updated under it, and no table is read under their locks.
 */
public final class VmTable {
    private final EvidenceTable evidence;
    private final DrainTable drain;
    private volatile boolean known;
    private volatile ImmutableMap<VmId, Vm> vms = ImmutableMap.of();

    /**
     * Creates an empty table.
     *
     * @param evidence forgets VMs that are no longer listed
     * @param drain learns which VMs are leaving
     */
    public VmTable(EvidenceTable evidence, DrainTable drain) {
        this.evidence = evidence;
        this.drain = drain;
    }

    /**
     * Replaces the list.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param listed all VMs of the failure domain
     * @return true when the list changed
     */
    public synchronized boolean replace(long nowMillis, ImmutableList<Vm> listed) {
        ImmutableMap<VmId, Vm> next =
                listed.stream().collect(ImmutableMap.toImmutableMap(Vm::id, vm -> vm, (a, b) -> b));
        boolean first = !known;
        known = true;
        if (next.equals(vms)) {
            return first;
        }
        for (VmId gone : vms.keySet()) {
            if (!next.containsKey(gone)) {
                drain.observe(nowMillis, gone, LeavingSource.VM_LIST, false);
            }
        }
        vms = next;
        evidence.retain(next.keySet());
        next.values().forEach(vm -> drain.observe(nowMillis, vm.id(), LeavingSource.VM_LIST, vm.leaving()));
        return true;
    }

    /**
     * Tells whether a list was received since this process started. Without one nothing follows from a VM's absence.
     *
     * @return true once there was one
     */
    public boolean hasList() {
        return known;
    }

    /**
     * Returns all VMs.
     *
     * @return the VMs in the order of the platform's list
     */
    public ImmutableList<Vm> all() {
        return vms.values().asList();
    }

    /**
     * Returns the ids of all VMs.
     *
     * @return the ids
     */
    public ImmutableSet<VmId> ids() {
        return vms.keySet();
    }

    /**
     * Finds a VM.
     *
     * @param vm the id
     * @return the VM, or empty
     */
    public Optional<Vm> vm(VmId vm) {
        return Optional.ofNullable(vms.get(vm));
    }
}
