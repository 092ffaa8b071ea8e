package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.List;

/**
 * A command from the planner to one upstream, called an order in log lines and metrics. Log lines contain the string
 * form of these records, so their names and components must not change.
 */
public sealed interface ReplicaAction {
    /**
     * Returns the upstream that receives the order.
     *
     * @return id of the upstream
     */
    InstanceId target();

    /**
     * Orders an upstream to join a group.
     *
     * @param target the upstream
     * @param replica the group
     * @param model the model to prepare
     * @param members all members, the head first
     */
    record Join(InstanceId target, ReplicaKey replica, String model, List<InstanceId> members)
            implements ReplicaAction {}

    /**
     * Orders a head to start serving.
     *
     * @param target the head
     * @param replica the group
     */
    record Open(InstanceId target, ReplicaKey replica) implements ReplicaAction {}

    /**
     * Orders a member to leave a group immediately.
     *
     * @param target the member
     * @param replica the group
     */
    record Leave(InstanceId target, ReplicaKey replica) implements ReplicaAction {}

    /**
     * Orders an upstream to copy a model's weights to its host.
     *
     * @param target the upstream
     * @param model the model
     */
    record Stage(InstanceId target, String model) implements ReplicaAction {}
}
