package io.sesamehead.state;

import java.util.Objects;

/**
 * Name of a daemon, unique within a deployment.
 *
 * @param value the name, not blank
 */
public record DaemonId(String value) implements Comparable<DaemonId> {
    /** Rejects blank names. */
    public DaemonId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("DaemonId must not be blank");
        }
    }

    @Override
    public int compareTo(DaemonId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
