package io.sesamehead.state;

import java.util.Objects;

/**
 * Name of a fabric domain, a set of VMs that share a fast interconnect.
 *
 * @param value the name, not blank
 */
public record FabricDomain(String value) implements Comparable<FabricDomain> {
    /** Rejects blank names. */
    public FabricDomain {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("FabricDomain must not be blank");
        }
    }

    @Override
    public int compareTo(FabricDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
