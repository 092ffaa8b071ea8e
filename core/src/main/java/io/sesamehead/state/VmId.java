package io.sesamehead.state;

import java.util.Objects;

/**
 * Name of a VM in the platform's VM list.
 *
 * @param value the name, not blank
 */
public record VmId(String value) implements Comparable<VmId> {
    /** Rejects blank names. */
    public VmId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("VmId must not be blank");
        }
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
