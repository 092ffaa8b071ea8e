package io.sesamehead.state;

import java.util.Objects;

/**
 * Name of one upstream process in the registry. A process that starts again may keep its name, so the time of its start
 * belongs to its identity.
 *
 * @param value the name, not blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Rejects blank names. */
    public InstanceId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("InstanceId must not be blank");
        }
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
