package io.sesamehead.cli.report;

/**
 * Numbers of groups and accelerators at one point in time.
 *
 * @param desiredGroups number of groups in the desired state
 * @param servingGroups number of desired groups that serve
 * @param accelerators number of accelerators of all listed VMs
 * @param strandedAccelerators number of accelerators of VMs that belong to no serving group
 */
public record FleetCounts(int desiredGroups, int servingGroups, int accelerators, int strandedAccelerators) {
    /** Used when the state of groups and accelerators is unknown. */
    public static final FleetCounts UNKNOWN = new FleetCounts(0, 0, 0, 0);

    /**
     * Returns the number of desired groups that do not serve.
     *
     * @return the count
     */
    public int missingGroups() {
        return Math.max(0, desiredGroups - servingGroups);
    }
}
