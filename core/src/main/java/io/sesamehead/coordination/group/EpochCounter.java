package io.sesamehead.coordination.group;

import io.sesamehead.state.Epoch;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;

/** Issues the fencing numbers and the assignment versions of one controller epoch. */
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

    /** Skips the numbers that an assignment uses, whether it is stored or only about to be written. */
    void skipUsed(GroupAssignment assignment) {
        highestVersion = Math.max(highestVersion, assignment.version());
        for (Group group : assignment.groups()) {
            if (group.epoch().controllerEpoch() == controllerEpoch) {
                counter = Math.max(counter, group.epoch().counter());
            }
        }
    }

    /** Tells that the store was restored from an old copy, or that the last write did not take effect. */
    boolean isOlderThanWritten(GroupAssignment stored) {
        return stored.version() < highestVersion;
    }

    /** Returns a version that the daemons take for newer than all that they may have seen. */
    long nextVersion() {
        return highestVersion + 1;
    }

    Epoch next() {
        counter++;
        return Epoch.of(controllerEpoch, counter);
    }

    /** Returns the highest number issued; a release order with it does not fence off loads of groups formed later. */
    Epoch current() {
        return Epoch.of(controllerEpoch, counter);
    }
}
