package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.lease.HeldLease;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Optional;

/**
 * What the controller of a failure domain sees in one step.
 *
 * @param lease the held lease, or empty when orders may not be sent
 * @param release the release in force, or empty
 * @param assignment the assignment as the store holds it; a write counts only once the store accepted it
 * @param vms VMs of the failure domain from the platform's list
 * @param evidence last evidence about each VM
 */
public record ControllerView(
        Optional<HeldLease> lease,
        Optional<AcceptedRelease> release,
        GroupAssignment assignment,
        ImmutableList<Vm> vms,
        ImmutableMap<VmId, Evidence> evidence) {}
