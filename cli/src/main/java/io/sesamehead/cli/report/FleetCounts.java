package io.sesamehead.cli.report;

/**
 * Groups and accelerators at one moment.
 *
 * @param desiredGroups groups that the note asks for
 * @param servingGroups groups among them that serve
 * @param accelerators accelerators of all listed VMs
 * @param strandedAccelerators accelerators of VMs that belong to no serving group
 */
public record FleetCounts(int desiredGroups, int servingGroups, int accelerators, int strandedAccelerators) {
    /** Nothing is known of groups and accelerators. */
    public static final FleetCounts UNKNOWN = new FleetCounts(0, 0, 0, 0);

    /**
     * Returns the groups that the note asks for and that do not serve.
     *
     * @return the count
     */
    public int missingGroups() {
        return Math.max(0, desiredGroups - servingGroups);
    }
}
