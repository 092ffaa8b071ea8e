package io.sesamehead.coordination.replica;

import java.util.List;
import java.util.Optional;

/**
 * A group as its members report it.
 *
 * @param key the group
 * @param members the upstreams that report it, ordered by rank
 */
public record Replica(ReplicaKey key, List<UpstreamEntry> members) {
    /** Copies the members. */
    public Replica {
        members = List.copyOf(members);
    }

    /**
     * Returns the upstream that receives the group's calls.
     *
     * @return the head, or empty if the registry does not list it
     */
    public Optional<UpstreamEntry> head() {
        if (members.isEmpty() || !membership(members.get(0)).head()) {
            return Optional.empty();
        }
        return Optional.of(members.get(0));
    }

    /**
     * Tells whether every member is listed, stays, and has prepared the model, so that the head may serve.
     *
     * @param size members that the model needs
     * @return true if the group is complete
     */
    public boolean complete(int size) {
        if (members.size() != size || head().isEmpty()) {
            return false;
        }
        for (UpstreamEntry member : members) {
            MemberState state = membership(member).state();
            if (member.leaving() || state == MemberState.JOINING || state == MemberState.BROKEN) {
                return false;
            }
        }
        return true;
    }

    /**
     * Tells whether calls may be sent to the head.
     *
     * @param size members that the model needs
     * @return true if the group is complete and its head says that it serves
     */
    public boolean serving(int size) {
        return complete(size) && membership(members.get(0)).state() == MemberState.OPEN;
    }

    private static Membership membership(UpstreamEntry member) {
        return member.membership().orElseThrow();
    }
}
