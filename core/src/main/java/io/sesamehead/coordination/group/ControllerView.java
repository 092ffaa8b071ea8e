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
 * Input of one step of the controller of a failure domain.
 *
 * @param lease the held lease, or empty if orders may not be sent
 * @param release the release in force, or empty
 * @param assignment the stored assignment; includes a write only after the store accepted it
 * @param vms VMs of the failure domain in the platform's VM list
 * @param evidence latest evidence about each VM
 */
public record ControllerView(
        Optional<HeldLease> lease,
        Optional<AcceptedRelease> release,
        GroupAssignment assignment,
        ImmutableList<Vm> vms,
        ImmutableMap<VmId, Evidence> evidence) {}
