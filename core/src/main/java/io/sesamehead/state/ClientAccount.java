package io.sesamehead.state;

import java.util.Objects;

/**
 * Name of a client account, the unit of fair sharing between callers.
 *
 * @param value the name, not blank
 */
public record ClientAccount(String value) implements Comparable<ClientAccount> {
    /** Rejects blank names. */
    public ClientAccount {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("ClientAccount must not be blank");
        }
    }

    @Override
    public int compareTo(ClientAccount other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
