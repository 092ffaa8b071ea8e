package io.sesamehead.state;

import java.util.Objects;

/**
 * Identifier of a caller's request.
 *
 * @param value the id, not blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Rejects blank ids. */
    public RequestId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("RequestId must not be blank");
        }
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
