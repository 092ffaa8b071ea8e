package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.ServiceSpec.ModelService;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.ArrayDeque;
import java.util.Optional;

/** Updates the state of a service's groups from their health; repairs, releases or waits for broken groups. */
final class RepairPlanner {
    private static final long MINUTE_MILLIS = 60_000;

    /** A member is replaced after this multiple of the expected load time; slow hardware stays far below it. */
    private static final int STUCK_FACTOR = 5;

    private final Observations observations;
    private final GroupTimes times;
    private final EpochCounter epochs;
    private final PlacementPlanner placementPlanner;
    private final RepairPolicy policy;
    private final ReleaseNote note;

    RepairPlanner(
            Observations observations,
            GroupTimes times,
            EpochCounter epochs,
            PlacementPlanner placementPlanner,
            RepairPolicy policy,
            ReleaseNote note) {
        this.observations = observations;
        this.times = times;
        this.epochs = epochs;
        this.placementPlanner = placementPlanner;
        this.policy = policy;
        this.note = note;
    }

    void plan(AssignmentBuilder builder, ModelService service) {
        for (Group group : GroupPlanner.active(builder, service)) {
            switch (GroupHealth.of(group, observations)) {
                case GroupHealth.Complete complete -> setState(builder, group, GroupState.SERVING);
                case GroupHealth.Loading loading -> planLoading(builder, group, service);
                case GroupHealth.OutOfSync outOfSync -> reload(builder, group);
                case GroupHealth.Leaving leaving -> planLeaving(builder, group, service, leaving);
                case GroupHealth.Missing missing -> planMissing(builder, group, service, missing);
            }
        }
    }

    private void planLoading(AssignmentBuilder builder, Group group, ModelService service) {
        boolean neverLoaded =
                group.members().stream().anyMatch(member -> member.engine().isEmpty());
        if (group.state() == GroupState.FORMING || neverLoaded) {
            setState(builder, group, GroupState.FORMING);
            replaceStuck(builder, group, service);
        } else if (isRepairDue(builder, group, service, group.members().size())) {
            reload(builder, group);
        } else {
            setState(builder, group, GroupState.BROKEN);
        }
    }

    private void replaceStuck(AssignmentBuilder builder, Group group, ModelService service) {
        long limitMillis =
                STUCK_FACTOR * reloadMillis(builder, service, group.members().size());
        ImmutableSet<VmId> stuck = GroupHealth.unready(group, observations);
        if (stuck.isEmpty() || times.formingMillis(observations.nowMillis(), group.epoch()) < limitMillis) {
            return;
        }
        fabricDomain(group, ImmutableSet.of())
                .flatMap(domain -> placementPlanner.chooseReplacements(
                        observations.freeVms(builder.groups()), domain, stuck.size(), service.acceleratorMemoryGb()))
                .ifPresent(replacements -> replaceMembers(builder, group, stuck, replacements));
    }

    /** Releases a serving group, so that its work can finish; any other group only has its leaving members replaced. */
    private void planLeaving(
            AssignmentBuilder builder, Group group, ModelService service, GroupHealth.Leaving leaving) {
        if (group.state() == GroupState.SERVING) {
            builder.startRelease(group);
        } else {
            planMissing(builder, group, service, new GroupHealth.Missing(leaving.members(), true));
        }
    }

    private void planMissing(
            AssignmentBuilder builder, Group group, ModelService service, GroupHealth.Missing missing) {
        boolean due = missing.gone()
                || isRepairDue(builder, group, service, missing.members().size());
        boolean repaired = due && GroupPlanner.isCurrent(group, service) && repair(builder, group, service, missing);
        if (!repaired) {
            setState(builder, group, GroupState.BROKEN);
        }
    }

    private boolean repair(AssignmentBuilder builder, Group group, ModelService service, GroupHealth.Missing missing) {
        ImmutableList<Vm> free = observations.freeVms(builder.groups());
        Optional<ImmutableList<Vm>> replacements = fabricDomain(group, missing.members())
                .flatMap(domain -> placementPlanner.chooseReplacements(
                        free, domain, missing.members().size(), service.acceleratorMemoryGb()));
        if (replacements.isPresent()) {
            replaceMembers(builder, group, missing.members(), replacements.get());
            return true;
        }
        boolean formsElsewhere = placementPlanner
                .placeGroup(free, service.vmsPerReplica(), service.acceleratorMemoryGb())
                .isPresent();
        if (formsElsewhere || canCompleteAnother(builder, group, service, missing)) {
            builder.startRelease(group);
            return true;
        }
        return false;
    }

    /** Replacements take over the ranks of the members they replace, so that the other members keep theirs. */
    private void replaceMembers(
            AssignmentBuilder builder, Group group, ImmutableSet<VmId> missing, ImmutableList<Vm> replacements) {
        ArrayDeque<Vm> next = new ArrayDeque<>(replacements);
        ImmutableList.Builder<Group.Member> members = ImmutableList.builder();
        for (Group.Member member : group.members()) {
            VmId vm = missing.contains(member.vm()) ? next.removeFirst().id() : member.vm();
            members.add(new Group.Member(vm, Optional.empty()));
        }
        missing.forEach(builder::markLost);
        builder.restartForming(group, epochs.next(), members.build());
    }

    /** Whether the remaining members of this group can replace those missing in an older group of the service. */
    private boolean canCompleteAnother(
            AssignmentBuilder builder, Group group, ModelService service, GroupHealth.Missing missing) {
        int survivors = group.members().size() - missing.members().size();
        Optional<FabricDomain> domain = fabricDomain(group, missing.members());
        return GroupPlanner.active(builder, service).stream()
                .filter(other ->
                        other.state() == GroupState.BROKEN && other.epoch().compareTo(group.epoch()) < 0)
                .anyMatch(other -> GroupHealth.of(other, observations) instanceof GroupHealth.Missing otherMissing
                        && otherMissing.members().size() <= survivors
                        && domain.isPresent()
                        && fabricDomain(other, otherMissing.members()).equals(domain));
    }

    private void reload(AssignmentBuilder builder, Group group) {
        ImmutableList<Group.Member> members = group.members().stream()
                .map(member -> new Group.Member(member.vm(), Optional.empty()))
                .collect(ImmutableList.toImmutableList());
        builder.restartForming(group, epochs.next(), members);
    }

    private boolean isRepairDue(AssignmentBuilder builder, Group group, ModelService service, int loads) {
        return group.state() == GroupState.BROKEN
                && policy.repairNow(
                        times.brokenMillis(observations.nowMillis(), group.id()),
                        reloadMillis(builder, service, loads));
    }

    /** Returns the expected reload time, which is longer if many loads wait for the load limit of the weight store. */
    private long reloadMillis(AssignmentBuilder builder, ModelService service, int loads) {
        long waiting = builder.groups().stream()
                .filter(other -> other.state() == GroupState.FORMING)
                .mapToLong(other -> other.members().stream()
                        .filter(member -> member.engine().isEmpty())
                        .count())
                .sum();
        long limitMillis = (waiting + loads) * MINUTE_MILLIS / Math.max(1, note.loadsPerMinute());
        return Math.max(service.loadMillis(), limitMillis);
    }

    private Optional<FabricDomain> fabricDomain(Group group, ImmutableSet<VmId> except) {
        return group.members().stream()
                .map(Group.Member::vm)
                .filter(vm -> !except.contains(vm))
                .flatMap(vm -> observations.listed(vm).stream())
                .map(Vm::fabricDomain)
                .findFirst();
    }

    private static void setState(AssignmentBuilder builder, Group group, GroupState state) {
        if (group.state() != state) {
            builder.replace(AssignmentBuilder.withState(group, state));
        }
    }
}
