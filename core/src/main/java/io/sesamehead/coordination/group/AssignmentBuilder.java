package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.ServiceSpec.ModelService;
import io.sesamehead.state.VmId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/** Builds the next assignment from the stored one. */
final class AssignmentBuilder {
    private final GroupAssignment stored;
    private final Map<GroupId, Group> groups = new LinkedHashMap<>();
    private final TreeSet<VmId> lost;
    private long nextGroupNumber;

    AssignmentBuilder(GroupAssignment stored) {
        this.stored = stored;
        stored.groups().forEach(group -> groups.put(group.id(), group));
        lost = new TreeSet<>(stored.lost());
        nextGroupNumber = stored.nextGroupNumber();
    }

    ImmutableList<Group> groups() {
        return ImmutableList.copyOf(groups.values());
    }

    /** Removes lost VMs that report no group, and those that the platform no longer lists and that do not answer. */
    void removeRecoveredVms(Observations observations) {
        lost.removeIf(vm -> observations.isGone(vm)
                || observations
                        .settledReport(vm)
                        .map(report -> report.group().isEmpty())
                        .orElse(false));
    }

    void replace(Group group) {
        groups.put(group.id(), group);
    }

    void remove(Group group) {
        groups.remove(group.id());
    }

    void markLost(VmId vm) {
        lost.add(vm);
    }

    void startRelease(Group group) {
        if (group.state() != GroupState.RELEASING) {
            replace(withState(group, GroupState.RELEASING));
        }
    }

    void formGroup(ModelService service, Epoch epoch, ImmutableList<Group.Member> members) {
        GroupId id = new GroupId(service.name() + "-" + nextGroupNumber);
        nextGroupNumber++;
        replace(new Group(id, service.name(), service.model(), service.version(), epoch, GroupState.FORMING, members));
    }

    /** Loads the group again in a new epoch, with the same or other members. */
    void restartForming(Group group, Epoch epoch, ImmutableList<Group.Member> members) {
        replace(new Group(
                group.id(), group.service(), group.model(), group.version(), epoch, GroupState.FORMING, members));
    }

    GroupAssignment build(EpochCounter epochs) {
        ImmutableList<Group> list = groups();
        boolean same = list.equals(stored.groups())
                && lost.equals(stored.lost())
                && epochs.controllerEpoch() == stored.controllerEpoch()
                && !epochs.isOlderThanWritten(stored);
        if (same) {
            return stored;
        }
        return new GroupAssignment(
                stored.failureDomain(),
                epochs.controllerEpoch(),
                epochs.nextVersion(),
                nextGroupNumber,
                list,
                ImmutableSet.copyOf(lost));
    }

    static Group withState(Group group, GroupState state) {
        return new Group(
                group.id(), group.service(), group.model(), group.version(), group.epoch(), state, group.members());
    }

    static Group withMembers(Group group, ImmutableList<Group.Member> members) {
        return new Group(
                group.id(), group.service(), group.model(), group.version(), group.epoch(), group.state(), members);
    }
}
