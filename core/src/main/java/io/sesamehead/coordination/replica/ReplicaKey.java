package io.sesamehead.coordination.replica;

import java.util.Optional;

/**
 * Identity of a group. A name and epoch always identify the same list of members.
 *
 * @param group the group's name
 * @param epoch number that increases with each group formed
 */
public record ReplicaKey(String group, long epoch) {
    private static final char SEPARATOR = '-';

    /**
     * Creates the key of a new group. Its name contains the model, so that a later controller can tell which model the
     * group serves.
     *
     * @param model the model's name
     * @param epoch the group's epoch
     * @return the key
     */
    public static ReplicaKey of(String model, long epoch) {
        return new ReplicaKey(model + SEPARATOR + epoch, epoch);
    }

    /**
     * Returns the model in the group's name.
     *
     * @return the model's name, or empty if the group's name was not created by {@link #of}
     */
    public Optional<String> model() {
        String suffix = SEPARATOR + Long.toString(epoch);
        if (!group.endsWith(suffix)) {
            return Optional.empty();
        }
        return Optional.of(group.substring(0, group.length() - suffix.length()));
    }

    @Override
    public String toString() {
        return group + "/" + epoch;
    }
}
