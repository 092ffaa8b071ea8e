package io.sesamehead.state;

import java.util.Objects;

/**
 * Identifier of a group, unique within its failure domain and never reused.
 *
 * @param value the name, not blank
 */
public record GroupId(String value) implements Comparable<GroupId> {
    /** Rejects blank names. */
    public GroupId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("GroupId must not be blank");
        }
    }

    @Override
    public int compareTo(GroupId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
