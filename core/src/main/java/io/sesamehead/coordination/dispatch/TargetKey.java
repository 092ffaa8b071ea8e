package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.state.InstanceId;

/**
 * Identity of what a call is sent to: a group, or one upstream of a plain service. A later group or a later life of the
 * upstream has another key.
 *
 * @param name the group's or the upstream's name
 * @param generation the group's epoch or the time of the upstream's start
 */
public record TargetKey(String name, long generation) {
    /**
     * Names a group.
     *
     * @param replica the group
     * @return its key
     */
    public static TargetKey of(ReplicaKey replica) {
        return new TargetKey(replica.group(), replica.epoch());
    }

    /**
     * Names one upstream of a plain service.
     *
     * @param instance the upstream
     * @param startedAtEpochMillis when it started
     * @return its key
     */
    public static TargetKey of(InstanceId instance, long startedAtEpochMillis) {
        return new TargetKey(instance.value(), startedAtEpochMillis);
    }

    /**
     * Returns the group that the key names.
     *
     * @return the group
     */
    public ReplicaKey replica() {
        return new ReplicaKey(name, generation);
    }

    @Override
    public String toString() {
        return name + "/" + generation;
    }
}
