package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * All groups of one failure domain, the content of {@code groupassignments/<fd>}. The constructor rejects a VM in two
 * groups, so that such a state can be neither written nor read.
 *
 * @param failureDomain the failure domain
 * @param controllerEpoch epoch of the controller lease of the last writer
 * @param version number of writes, from 1; 0 for the empty assignment
 * @param nextGroupNumber number of the next new group
 * @param groups the groups
 * @param lost VMs that left a group without confirming their release
 */
public record GroupAssignment(
        FailureDomain failureDomain,
        long controllerEpoch,
        long version,
        long nextGroupNumber,
        ImmutableList<Group> groups,
        ImmutableSet<VmId> lost) {
    /** Enforces the {@code one-group} invariant: a VM is in no more than one group. */
    public GroupAssignment {
        Set<VmId> seen = new HashSet<>();
        for (Group group : groups) {
            for (Group.Member member : group.members()) {
                if (!seen.add(member.vm())) {
                    throw new IllegalStateException("VM " + member.vm() + " is in two groups");
                }
            }
        }
    }

    /**
     * Returns the empty assignment of a failure domain.
     *
     * @param failureDomain the failure domain
     * @return the empty assignment
     */
    public static GroupAssignment empty(FailureDomain failureDomain) {
        return new GroupAssignment(failureDomain, 0, 0, 1, ImmutableList.of(), ImmutableSet.of());
    }

    /**
     * Finds a group.
     *
     * @param id the group id
     * @return the group, or empty
     */
    public Optional<Group> group(GroupId id) {
        return groups.stream().filter(group -> group.id().equals(id)).findFirst();
    }
}
