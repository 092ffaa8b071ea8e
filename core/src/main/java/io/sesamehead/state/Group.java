package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * One group of VMs that together carry one replica of a model service.
 *
 * @param id identifier, never reused
 * @param service the model service
 * @param model name of the model
 * @param version version of the model
 * @param epoch fencing number of the last change of the group
 * @param state recorded stage
 * @param members members in rank order; the first one is the head
 */
public record Group(
        GroupId id,
        ServiceName service,
        String model,
        String version,
        Epoch epoch,
        GroupState state,
        ImmutableList<Member> members) {
    /**
     * One member of a group.
     *
     * @param vm the VM
     * @param engine incarnation of its engine that took the load order; empty until the order was answered
     */
    public record Member(VmId vm, Optional<Incarnation> engine) {}

    /**
     * Returns the member that receives requests.
     *
     * @return the member of rank 0
     */
    public Member head() {
        return members.get(0);
    }

    /**
     * Tells whether a VM is a member.
     *
     * @param vm the VM
     * @return true when it is
     */
    public boolean contains(VmId vm) {
        return members.stream().anyMatch(member -> member.vm().equals(vm));
    }
}
