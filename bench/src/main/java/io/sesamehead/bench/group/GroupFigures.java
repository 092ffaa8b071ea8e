package io.sesamehead.bench.group;

/**
 * Time that was lost in a run, in accelerator-milliseconds.
 *
 * @param downtime of replicas that the release note asks for and that did not serve
 * @param asked of all replicas that the release note asks for
 * @param stranded of powered accelerators in no serving group
 * @param powered of all powered accelerators
 */
record GroupFigures(double downtime, double asked, double stranded, double powered) {
    static final GroupFigures NONE = new GroupFigures(0, 0, 0, 0);

    GroupFigures plus(GroupFigures other) {
        return new GroupFigures(
                downtime + other.downtime, asked + other.asked, stranded + other.stranded, powered + other.powered);
    }

    double downtimePercent() {
        return 100 * downtime / asked;
    }

    double strandedPercent() {
        return 100 * stranded / powered;
    }

    /** Both measures by the operators' weight, in percent. */
    double cost(double downtimeWeight) {
        return downtimeWeight * downtimePercent() + (1 - downtimeWeight) * strandedPercent();
    }
}
