package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.InstanceId;

/**
 * Identity of a target: a group, one upstream of a plain service, or a daemon that passes calls on. A later epoch of the group or a later
 * incarnation of the upstream has a different key.
 *
 * @param name name of the group or upstream
 * @param generation epoch of the group, or start time of the upstream in milliseconds since the Unix epoch
 */
public record TargetKey(String name, long generation) {
    private static final String PEER_PREFIX = "peer:";

    /**
     * Returns the key of a daemon that passes calls on.
     *
     * @param daemon the daemon
     * @return the key
     */
    public static TargetKey ofPeer(DaemonId daemon) {
        return new TargetKey(PEER_PREFIX + daemon.value(), 0);
    }

    /**
     * Returns whether this key identifies a daemon that passes calls on.
     *
     * @return false for a group or an upstream
     */
    public boolean isPeer() {
        return name.startsWith(PEER_PREFIX);
    }

    /**
     * Returns the key of a group.
     *
     * @param replica the group
     * @return the key
     */
    public static TargetKey of(ReplicaKey replica) {
        return new TargetKey(replica.group(), replica.epoch());
    }

    /**
     * Returns the key of an upstream of a plain service.
     *
     * @param instance the upstream
     * @param startedAtEpochMillis start time of the upstream, in milliseconds since the Unix epoch
     * @return the key
     */
    public static TargetKey of(InstanceId instance, long startedAtEpochMillis) {
        return new TargetKey(instance.value(), startedAtEpochMillis);
    }

    /**
     * Returns the group that this key identifies.
     *
     * @return the group
     */
    public ReplicaKey replica() {
        return new ReplicaKey(name, generation);
    }

    // Called for each event of a stream; the methods that a record generates go through method handles.
    @Override
    public boolean equals(Object other) {
        return other instanceof TargetKey key && generation == key.generation && name.equals(key.name);
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + Long.hashCode(generation);
    }

    @Override
    public String toString() {
        return name + "/" + generation;
    }
}
