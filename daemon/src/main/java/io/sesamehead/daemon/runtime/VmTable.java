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
 * The platform's list of VMs of this failure domain. The monitor of this table serializes updates; the evidence table
 * (lock order 3) and the drain table are updated while it is held, and this table is never read under their locks.
 */
public final class VmTable {
    private final EvidenceTable evidence;
    private final DrainTable drain;
    private volatile boolean hasList;
    private volatile ImmutableMap<VmId, Vm> vms = ImmutableMap.of();

    /**
     * Creates an empty table.
     *
     * @param evidence evidence table, from which unlisted VMs are evicted
     * @param drain records which VMs are leaving
     */
    public VmTable(EvidenceTable evidence, DrainTable drain) {
        this.evidence = evidence;
        this.drain = drain;
    }

    /**
     * Replaces the list.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param listed all VMs of the failure domain
     * @return true if the list changed or is the first one
     */
    public synchronized boolean replace(long nowMillis, ImmutableList<Vm> listed) {
        ImmutableMap<VmId, Vm> updated =
                listed.stream().collect(ImmutableMap.toImmutableMap(Vm::id, vm -> vm, (a, b) -> b));
        boolean firstList = !hasList;
        hasList = true;
        if (updated.equals(vms)) {
            return firstList;
        }
        for (VmId removed : vms.keySet()) {
            if (!updated.containsKey(removed)) {
                drain.observe(nowMillis, removed, LeavingSource.VM_LIST, false);
            }
        }
        vms = updated;
        evidence.retain(updated.keySet());
        updated.values().forEach(vm -> drain.observe(nowMillis, vm.id(), LeavingSource.VM_LIST, vm.leaving()));
        return true;
    }

    /**
     * Returns whether a list was received since this process started. Before that, the absence of a VM has no meaning.
     *
     * @return true after the first list
     */
    public boolean hasList() {
        return hasList;
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
     * Returns the VM with the given id.
     *
     * @param vm the id
     * @return the VM, or empty if it is not listed
     */
    public Optional<Vm> vm(VmId vm) {
        return Optional.ofNullable(vms.get(vm));
    }
}
