package io.sesamehead.daemon.protocol;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.VmId;

/** A control order to a model engine. */
public sealed interface EngineOrder {
    /**
     * Returns the identifier of the order, which the engine uses to detect duplicates.
     *
     * @return the identifier
     */
    String orderId();

    /**
     * Returns the fencing token of the order.
     *
     * @return the epoch
     */
    Epoch epoch();

    /**
     * Returns the failure domain whose controller sends the order.
     *
     * @return the failure domain
     */
    FailureDomain failureDomain();

    /**
     * Loads a model for a group.
     *
     * @param orderId identifier of the order
     * @param epoch fencing token
     * @param failureDomain failure domain of the controller
     * @param group the group to join
     * @param model name of the model
     * @param version version of the model
     * @param members members of the group in rank order
     * @param rank rank of the engine, 0 for the head
     * @param headAddress address of the head's engine
     */
    record Load(
            String orderId,
            Epoch epoch,
            FailureDomain failureDomain,
            GroupId group,
            String model,
            String version,
            ImmutableList<MemberAddress> members,
            int rank,
            String headAddress)
            implements EngineOrder {}

    /**
     * Releases the engine from its group.
     *
     * @param orderId identifier of the order
     * @param epoch fencing token
     * @param failureDomain failure domain of the controller
     * @param group the group to leave
     */
    record Release(String orderId, Epoch epoch, FailureDomain failureDomain, GroupId group) implements EngineOrder {}

    /**
     * Changes the rank of the engine within its group.
     *
     * @param orderId identifier of the order
     * @param epoch fencing token
     * @param failureDomain failure domain of the controller
     * @param group the group
     * @param members members of the group in rank order
     * @param rank new rank of the engine, 0 for the head
     * @param headAddress address of the head's engine
     */
    record Role(
            String orderId,
            Epoch epoch,
            FailureDomain failureDomain,
            GroupId group,
            ImmutableList<MemberAddress> members,
            int rank,
            String headAddress)
            implements EngineOrder {}

    /**
     * A group member and the address of its engine.
     *
     * @param vm the VM
     * @param address {@code ip:port} of its engine
     */
    record MemberAddress(VmId vm, String address) {}
}
