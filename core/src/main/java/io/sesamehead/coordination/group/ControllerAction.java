package io.sesamehead.coordination.group;

import io.sesamehead.state.Epoch;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.Vm;

/**
 * An action planned by the controller. {@code LeaseHolder.maySend} must be checked immediately before an order is sent.
 */
public sealed interface ControllerAction {
    /**
     * Writes the assignment, conditional on the version that was the input of the step. The outcome is the input of the
     * next step.
     *
     * @param assignment the assignment to write
     */
    record WriteAssignment(GroupAssignment assignment) implements ControllerAction {}

    /**
     * Reads the status of an engine that was not observed since the lease was acquired.
     *
     * @param vm the VM
     */
    record ReadStatus(Vm vm) implements ControllerAction {}

    /** An order sent to an engine. */
    sealed interface Order extends ControllerAction {
        /**
         * Returns the id of the order, unique within the controller epoch.
         *
         * @return the id
         */
        String orderId();

        /**
         * Returns the VM whose engine receives the order.
         *
         * @return the VM
         */
        Vm vm();

        /**
         * Returns the fencing token of the order.
         *
         * @return the epoch
         */
        Epoch epoch();
    }

    /**
     * Sends order {@code load}: the engine loads a model as a member of a group.
     *
     * @param orderId id of the order
     * @param vm the VM
     * @param epoch fencing token, the epoch of the group
     * @param group the group, with model, version and members in rank order
     * @param rank rank of the VM in the group
     * @param headAddress {@code ip:port} of the engine of rank 0
     */
    record SendLoad(String orderId, Vm vm, Epoch epoch, Group group, int rank, String headAddress) implements Order {}

    /**
     * Sends order {@code role}: a member that already has the model loaded joins a new epoch of the group.
     *
     * @param orderId id of the order
     * @param vm the VM
     * @param epoch fencing token, the epoch of the group
     * @param group the group, with model, version and members in rank order
     * @param rank rank of the VM in the group
     * @param headAddress {@code ip:port} of the engine of rank 0
     */
    record SendRole(String orderId, Vm vm, Epoch epoch, Group group, int rank, String headAddress) implements Order {}

    /**
     * Sends order {@code release}: the engine leaves its group and becomes idle.
     *
     * @param orderId id of the order
     * @param vm the VM
     * @param epoch fencing token
     * @param group the group that the engine reports
     */
    record SendRelease(String orderId, Vm vm, Epoch epoch, GroupId group) implements Order {}
}
