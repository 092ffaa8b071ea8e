package io.sesamehead.coordination.replica;

/**
 * An upstream's own statement about its group.
 *
 * @param replica the group
 * @param rank place in the group's list, 0 for the head
 * @param state its state
 */
public record Membership(ReplicaKey replica, int rank, MemberState state) {
    /**
     * Tells whether the upstream is the one that receives the group's calls.
     *
     * @return true for rank 0
     */
    public boolean head() {
        return rank == 0;
    }
}
