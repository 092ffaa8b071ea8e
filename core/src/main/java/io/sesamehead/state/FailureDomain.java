package io.sesamehead.state;

import java.util.Objects;

/**
 * Name of a failure domain, the unit that a network partition can isolate.
 *
 * @param value the name, not blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Rejects blank names. */
    public FailureDomain {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("FailureDomain must not be blank");
        }
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
