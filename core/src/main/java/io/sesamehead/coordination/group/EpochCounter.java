package io.sesamehead.coordination.group;

import io.sesamehead.state.Epoch;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;

/** Issues the fencing tokens and the assignment versions of one controller epoch. */
final class EpochCounter {
    private final long controllerEpoch;
    private long counter;
    private long highestVersion;

    EpochCounter(long controllerEpoch) {
        this.controllerEpoch = controllerEpoch;
    }

    long controllerEpoch() {
        return controllerEpoch;
    }

    /** Skips the numbers used in an assignment, whether it is stored or still to be written. */
    void skipUsed(GroupAssignment assignment) {
        highestVersion = Math.max(highestVersion, assignment.version());
        for (Group group : assignment.groups()) {
            if (group.epoch().controllerEpoch() == controllerEpoch) {
                counter = Math.max(counter, group.epoch().counter());
            }
        }
    }

    /**
     * Whether the stored assignment is older than the last written one: the store was restored or the write was lost.
     */
    boolean isOlderThanWritten(GroupAssignment stored) {
        return stored.version() < highestVersion;
    }

    /** Returns a version newer than every version that daemons may have received. */
    long nextVersion() {
        return highestVersion + 1;
    }

    Epoch next() {
        counter++;
        return Epoch.of(controllerEpoch, counter);
    }

    /**
     * Returns the highest token issued. A release order with this token does not fence off loads of groups formed
     * later.
     */
    Epoch current() {
        return Epoch.of(controllerEpoch, counter);
    }
}
