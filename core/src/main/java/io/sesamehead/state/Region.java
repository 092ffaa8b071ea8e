package io.sesamehead.state;

import java.util.Objects;

/**
 * Name of a region, which contains one or more failure domains.
 *
 * @param value the name, not blank
 */
public record Region(String value) {
    /** Rejects blank names. */
    public Region {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("Region must not be blank");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
