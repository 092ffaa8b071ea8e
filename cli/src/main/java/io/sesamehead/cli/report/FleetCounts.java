package io.sesamehead.cli.report;

/**
 * Groups and accelerators at one moment.
 *
 * @param groupsAsked groups that the note asks for
 * @param groupsServing groups among them that serve
 * @param accelerators accelerators of all listed VMs
 * @param stranded accelerators of VMs that belong to no serving group
 */
public record FleetCounts(int groupsAsked, int groupsServing, int accelerators, int stranded) {
    /** Nothing is known of groups and accelerators. */
    public static final FleetCounts UNKNOWN = new FleetCounts(0, 0, 0, 0);

    /**
     * Returns the groups that the note asks for and that do not serve.
     *
     * @return the count
     */
    public int groupsMissing() {
        return Math.max(0, groupsAsked - groupsServing);
    }
}
