package io.sesamehead.coordination.routing;

import io.sesamehead.state.GroupId;
import java.util.Objects;

/**
 * Identity of an upstream: a group of a model service, or the address of a plain service.
 *
 * @param value group ID or address, not blank
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /** Rejects a blank value. */
    public UpstreamId {
        Objects.requireNonNull(value, "value");
        if (value.isBlank()) {
            throw new IllegalArgumentException("UpstreamId must not be blank");
        }
    }

    /**
     * Returns the ID of the upstream that a group forms.
     *
     * @param group the group
     * @return the upstream ID
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
