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

/** Follows the health of the groups of a service: records it, and repairs, dissolves or waits for broken groups. */
final class RepairPlanner {
    private static final long MINUTE_MILLIS = 60_000;

    /** A member that took this many times the expected time to load is replaced; slow hardware stays far below it. */
    private static final int STUCK_FACTOR = 5;

    private final Observations seen;
    private final GroupTimes times;
    private final EpochCounter epochs;
    private final PlacementPlanner packing;
    private final RepairPolicy policy;
    private final ReleaseNote note;

    RepairPlanner(
            Observations seen,
            GroupTimes times,
            EpochCounter epochs,
            PlacementPlanner packing,
            RepairPolicy policy,
            ReleaseNote note) {
        this.seen = seen;
        this.times = times;
        this.epochs = epochs;
        this.packing = packing;
        this.policy = policy;
        this.note = note;
    }

    void plan(AssignmentBuilder draft, ModelService service) {
        for (Group group : GroupPlanner.active(draft, service)) {
            switch (GroupHealth.of(group, seen)) {
                case GroupHealth.Complete complete -> setState(draft, group, GroupState.SERVING);
                case GroupHealth.Loading loading -> planLoading(draft, group, service);
                case GroupHealth.OutOfSync displaced -> reload(draft, group);
                case GroupHealth.Leaving leaving -> planLeaving(draft, group, service, leaving);
                case GroupHealth.Missing missing -> planMissing(draft, group, service, missing);
            }
        }
    }

    private void planLoading(AssignmentBuilder draft, Group group, ModelService service) {
        boolean neverLoaded =
                group.members().stream().anyMatch(member -> member.engine().isEmpty());
        if (group.state() == GroupState.FORMING || neverLoaded) {
            setState(draft, group, GroupState.FORMING);
            replaceStuck(draft, group, service);
        } else if (isRepairDue(draft, group, service, group.members().size())) {
            reload(draft, group);
        } else {
            setState(draft, group, GroupState.BROKEN);
        }
    }

    private void replaceStuck(AssignmentBuilder draft, Group group, ModelService service) {
        long limitMillis =
                STUCK_FACTOR * reloadMillis(draft, service, group.members().size());
        ImmutableSet<VmId> stuck = GroupHealth.unready(group, seen);
        if (stuck.isEmpty() || times.formingMillis(seen.nowMillis(), group.epoch()) < limitMillis) {
            return;
        }
        fabricDomain(group, ImmutableSet.of())
                .flatMap(domain -> packing.chooseReplacements(
                        seen.freeVms(draft.groups()), domain, stuck.size(), service.acceleratorMemoryGb()))
                .ifPresent(replacements -> replaceMembers(draft, group, stuck, replacements));
    }

    /** A serving group finishes its work before it dissolves; another one only loses the members that leave. */
    private void planLeaving(AssignmentBuilder draft, Group group, ModelService service, GroupHealth.Leaving leaving) {
        if (group.state() == GroupState.SERVING) {
            draft.startRelease(group);
        } else {
            planMissing(draft, group, service, new GroupHealth.Missing(leaving.members(), true));
        }
    }

    private void planMissing(AssignmentBuilder draft, Group group, ModelService service, GroupHealth.Missing missing) {
        boolean due = missing.gone()
                || isRepairDue(draft, group, service, missing.members().size());
        boolean repaired = due && GroupPlanner.isCurrent(group, service) && repair(draft, group, service, missing);
        if (!repaired) {
            setState(draft, group, GroupState.BROKEN);
        }
    }

    private boolean repair(AssignmentBuilder draft, Group group, ModelService service, GroupHealth.Missing missing) {
        ImmutableList<Vm> free = seen.freeVms(draft.groups());
        Optional<ImmutableList<Vm>> replacements = fabricDomain(group, missing.members())
                .flatMap(domain -> packing.chooseReplacements(
                        free, domain, missing.members().size(), service.acceleratorMemoryGb()));
        if (replacements.isPresent()) {
            replaceMembers(draft, group, missing.members(), replacements.get());
            return true;
        }
        boolean formsElsewhere = packing.placeGroup(free, service.vmsPerReplica(), service.acceleratorMemoryGb())
                .isPresent();
        if (formsElsewhere || canCompleteAnother(draft, group, service, missing)) {
            draft.startRelease(group);
            return true;
        }
        return false;
    }

    /** Replacements take the ranks of the members that they replace, so that the others keep theirs. */
    private void replaceMembers(
            AssignmentBuilder draft, Group group, ImmutableSet<VmId> missing, ImmutableList<Vm> replacements) {
        ArrayDeque<Vm> next = new ArrayDeque<>(replacements);
        ImmutableList.Builder<Group.Member> members = ImmutableList.builder();
        for (Group.Member member : group.members()) {
            VmId vm = missing.contains(member.vm()) ? next.removeFirst().id() : member.vm();
            members.add(new Group.Member(vm, Optional.empty()));
        }
        missing.forEach(draft::markLost);
        draft.restartForming(group, epochs.next(), members.build());
    }

    /** Tells whether the members left of this group can replace those missing in an earlier one of the service. */
    private boolean canCompleteAnother(
            AssignmentBuilder draft, Group group, ModelService service, GroupHealth.Missing missing) {
        int survivors = group.members().size() - missing.members().size();
        Optional<FabricDomain> domain = fabricDomain(group, missing.members());
        return GroupPlanner.active(draft, service).stream()
                .filter(other ->
                        other.state() == GroupState.BROKEN && other.epoch().compareTo(group.epoch()) < 0)
                .anyMatch(other -> GroupHealth.of(other, seen) instanceof GroupHealth.Missing lacking
                        && lacking.members().size() <= survivors
                        && domain.isPresent()
                        && fabricDomain(other, lacking.members()).equals(domain));
    }

    private void reload(AssignmentBuilder draft, Group group) {
        ImmutableList<Group.Member> members = group.members().stream()
                .map(member -> new Group.Member(member.vm(), Optional.empty()))
                .collect(ImmutableList.toImmutableList());
        draft.restartForming(group, epochs.next(), members);
    }

    private boolean isRepairDue(AssignmentBuilder draft, Group group, ModelService service, int loads) {
        return group.state() == GroupState.BROKEN
                && policy.repairNow(
                        times.brokenMillis(seen.nowMillis(), group.id()), reloadMillis(draft, service, loads));
    }

    /** The weight store's limit adds to the time of a reload, which matters when many groups wait for it. */
    private long reloadMillis(AssignmentBuilder draft, ModelService service, int loads) {
        long waiting = draft.groups().stream()
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
                .flatMap(vm -> seen.listed(vm).stream())
                .map(Vm::fabricDomain)
                .findFirst();
    }

    private static void setState(AssignmentBuilder draft, Group group, GroupState state) {
        if (group.state() != state) {
            draft.replace(AssignmentBuilder.withState(group, state));
        }
    }
}
