package io.sesamehead.coordination.group;

import io.sesamehead.state.Epoch;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.Vm;

/** What the controller wants done. The sender of an order asks {@code LeaseHolder.maySend} immediately before it. */
public sealed interface ControllerAction {
    /**
     * Write the assignment, conditional on the version that the step saw. The next step sees the outcome.
     *
     * @param assignment the content to write
     */
    record WriteAssignment(GroupAssignment assignment) implements ControllerAction {}

    /**
     * Read the status of an engine, because nothing was read of it since the lease was taken.
     *
     * @param vm the VM
     */
    record ReadStatus(Vm vm) implements ControllerAction {}

    /** An order to an engine. */
    sealed interface Order extends ControllerAction {
        /**
         * Returns the id of the order, unique within the controller epoch.
         *
         * @return the id
         */
        String orderId();

        /**
         * Returns the VM whose engine gets the order.
         *
         * @return the VM
         */
        Vm vm();

        /**
         * Returns the fencing number of the order.
         *
         * @return the epoch
         */
        Epoch epoch();
    }

    /**
     * Order {@code load}: load a model as a member of a group.
     *
     * @param orderId id of the order
     * @param vm the VM
     * @param epoch fencing number, the epoch of the group
     * @param group the group, with model, version and members in rank order
     * @param rank rank of the VM in the group
     * @param headAddress {@code ip:port} of the engine of rank 0
     */
    record SendLoad(String orderId, Vm vm, Epoch epoch, Group group, int rank, String headAddress) implements Order {}

    /**
     * Order {@code role}: a member that has the model loaded takes its place in a new epoch of the group.
     *
     * @param orderId id of the order
     * @param vm the VM
     * @param epoch fencing number, the epoch of the group
     * @param group the group, with model, version and members in rank order
     * @param rank rank of the VM in the group
     * @param headAddress {@code ip:port} of the engine of rank 0
     */
    record SendRole(String orderId, Vm vm, Epoch epoch, Group group, int rank, String headAddress) implements Order {}

    /**
     * Order {@code release}: leave a group and become idle.
     *
     * @param orderId id of the order
     * @param vm the VM
     * @param epoch fencing number
     * @param group the group that the engine reports
     */
    record SendRelease(String orderId, Vm vm, Epoch epoch, GroupId group) implements Order {}
}
