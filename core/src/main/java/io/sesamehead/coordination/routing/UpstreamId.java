package io.sesamehead.coordination.routing;

import io.sesamehead.state.GroupId;
import java.util.Objects;

/**
 * Identity of an upstream: a group of a model service, or an address of a plain service.
 *
 * @param value the group id or the address, not blank
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /** Rejects blank names. */
    public UpstreamId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("UpstreamId must not be blank");
        }
    }

    /**
     * Names the upstream that a group forms.
     *
     * @param group the group
     * @return the upstream
     */
    public static UpstreamId of(GroupId group) {
        return new UpstreamId(group.toString());
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
