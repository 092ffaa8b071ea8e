package io.sesamehead.state;

import java.util.Objects;

/**
 * Name of a service in the release note, either a model service or a plain service.
 *
 * @param value the name, not blank
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Rejects blank names. */
    public ServiceName {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("ServiceName must not be blank");
        }
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
