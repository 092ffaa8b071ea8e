package io.sesamehead.coordination.group;

import io.sesamehead.state.Epoch;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;

/** Issues the fencing numbers of one controller epoch. */
final class EpochCounter {
    private final long controllerEpoch;
    private long counter;

    EpochCounter(long controllerEpoch) {
        this.controllerEpoch = controllerEpoch;
    }

    long controllerEpoch() {
        return controllerEpoch;
    }

    /** Skips the numbers that an assignment uses. */
    void skip(GroupAssignment assignment) {
        for (Group group : assignment.groups()) {
            if (group.epoch().controllerEpoch() == controllerEpoch) {
                counter = Math.max(counter, group.epoch().counter());
            }
        }
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
