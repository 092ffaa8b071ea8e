package io.sesamehead.coordination.replica;

/**
 * Membership in a group, as the upstream itself reports it.
 *
 * @param replica the group
 * @param rank position in the group's member list, 0 for the head
 * @param state state of the upstream in the group
 */
public record Membership(ReplicaKey replica, int rank, MemberState state) {
    /** Rejects negative ranks and epochs. */
    public Membership {
        if (rank < 0 || replica.epoch() < 0) {
            throw new IllegalArgumentException("expected a rank and an epoch of at least 0");
        }
    }

    /**
     * Returns whether the upstream is the head, which receives the group's calls.
     *
     * @return true for rank 0
     */
    public boolean head() {
        return rank == 0;
    }
}
