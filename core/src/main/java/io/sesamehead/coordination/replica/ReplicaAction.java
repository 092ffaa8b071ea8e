package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.List;

/** An order that the planner wants sent to one upstream. */
public sealed interface ReplicaAction {
    /**
     * Returns the upstream that the order goes to.
     *
     * @return its name
     */
    InstanceId target();

    /**
     * Become a member of a group.
     *
     * @param target the upstream
     * @param replica the group
     * @param model model to prepare
     * @param members all members, the head first
     */
    record Join(InstanceId target, ReplicaKey replica, String model, List<InstanceId> members)
            implements ReplicaAction {}

    /**
     * Start to serve.
     *
     * @param target the head
     * @param replica the group
     */
    record Open(InstanceId target, ReplicaKey replica) implements ReplicaAction {}

    /**
     * Leave a group at once.
     *
     * @param target the member
     * @param replica the group
     */
    record Leave(InstanceId target, ReplicaKey replica) implements ReplicaAction {}

    /**
     * Copy a model's weights to the host.
     *
     * @param target the upstream
     * @param model the model
     */
    record Stage(InstanceId target, String model) implements ReplicaAction {}
}
