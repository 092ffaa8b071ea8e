package io.sesamehead.state;

import java.util.Objects;

/**
 * Name of an upstream process in the registry. A restarted process may keep its name, so its identity also includes its
 * start time.
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
