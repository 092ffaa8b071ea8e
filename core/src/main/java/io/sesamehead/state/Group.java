package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * A group of VMs that together run one replica of a model service.
 *
 * @param id identifier, never reused
 * @param service the model service
 * @param model name of the model
 * @param version version of the model
 * @param epoch fencing token of the last change of the group
 * @param state recorded state
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
     * @param engine incarnation of the engine that accepted the load order; empty until the engine reports the group
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
     * Whether a VM is a member.
     *
     * @param vm the VM
     * @return true if it is a member
     */
    public boolean contains(VmId vm) {
        return members.stream().anyMatch(member -> member.vm().equals(vm));
    }
}
