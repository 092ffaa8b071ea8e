package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.ServiceSpec.ModelService;
import java.util.Comparator;
import java.util.Optional;

/**
 * Plans the next assignment of a failure domain: which groups form, are repaired or dissolve. The result equals the
 * stored assignment when nothing is to be changed.
 */
final class GroupPlanner {
    private static final Comparator<ModelService> LARGEST_FIRST = Comparator.comparingInt(
                    ModelService::acceleratorMemoryGb)
            .thenComparingInt(ModelService::vmsPerReplica)
            .reversed()
            .thenComparing(service -> service.name().value());

    private final Observations seen;
    private final GroupTimes times;
    private final EpochCounter epochs;
    private final AcceptedRelease release;
    private final PlacementPlanner packing;
    private final RepairPolicy policy;

    GroupPlanner(
            Observations seen,
            GroupTimes times,
            EpochCounter epochs,
            AcceptedRelease release,
            PlacementPlanner packing,
            RepairPolicy policy) {
        this.seen = seen;
        this.times = times;
        this.epochs = epochs;
        this.release = release;
        this.packing = packing;
        this.policy = policy;
    }

    GroupAssignment plan(GroupAssignment stored) {
        AssignmentBuilder draft = new AssignmentBuilder(stored);
        draft.removeRecoveredVms(seen);
        for (Group group : stored.groups()) {
            if (group.state() == GroupState.RELEASING) {
                finishRelease(draft, group);
            } else {
                recordEngines(draft, group);
            }
        }
        ImmutableList<ModelService> wanted = desiredServices(stored.failureDomain());
        draft.groups().stream()
                .filter(group -> wanted.stream().noneMatch(it -> it.name().equals(group.service())))
                .forEach(draft::startRelease);
        RepairPlanner repairs = new RepairPlanner(seen, times, epochs, packing, policy, release.note());
        wanted.forEach(service -> repairs.plan(draft, service));
        wanted.forEach(service -> new ReplicaPlanner(seen, epochs, packing, service).plan(draft));
        return draft.build(epochs);
    }

    /** Services with the largest demand choose first, because the others fit into what is left more easily. */
    private ImmutableList<ModelService> desiredServices(FailureDomain failureDomain) {
        return release.note().services().values().stream()
                .filter(ModelService.class::isInstance)
                .map(ModelService.class::cast)
                .filter(service -> service.failureDomains().contains(failureDomain))
                .filter(service -> !release.note().withdrawn().contains(service.name()))
                .sorted(LARGEST_FIRST)
                .collect(ImmutableList.toImmutableList());
    }

    /** Removes a group once its reachable members report that they left it; the others are recorded as lost. */
    private void finishRelease(AssignmentBuilder draft, Group group) {
        boolean confirmed = group.members().stream()
                .allMatch(member -> seen.freshReport(member.vm()).isEmpty() || reportsNoGroup(member));
        if (confirmed) {
            group.members().stream()
                    .map(Group.Member::vm)
                    .filter(vm -> seen.freshReport(vm).isEmpty())
                    .forEach(draft::markLost);
            draft.remove(group);
        }
    }

    private boolean reportsNoGroup(Group.Member member) {
        return !seen.orderInFlight(member.vm())
                && seen.settledReport(member.vm())
                        .map(report -> report.group().isEmpty())
                        .orElse(false);
    }

    /** Records the incarnation of each engine that took its load order. */
    private void recordEngines(AssignmentBuilder draft, Group group) {
        ImmutableList<Group.Member> members = group.members().stream()
                .map(member -> withReportedEngine(group, member))
                .collect(ImmutableList.toImmutableList());
        draft.replace(AssignmentBuilder.withMembers(group, members));
    }

    private Group.Member withReportedEngine(Group group, Group.Member member) {
        if (member.engine().isPresent()) {
            return member;
        }
        return seen.freshReport(member.vm())
                .filter(report -> GroupHealth.reportsCurrentEpoch(group, report))
                .map(report -> new Group.Member(member.vm(), Optional.of(report.engine())))
                .orElse(member);
    }

    /** Returns the groups of a service that are not being released, in the order of their numbers. */
    static ImmutableList<Group> active(AssignmentBuilder draft, ModelService service) {
        return draft.groups().stream()
                .filter(group -> group.service().equals(service.name()))
                .filter(group -> group.state() != GroupState.RELEASING)
                .collect(ImmutableList.toImmutableList());
    }

    /** Tells whether a group is what the release asks for. */
    static boolean isCurrent(Group group, ModelService service) {
        return group.model().equals(service.model())
                && group.version().equals(service.version())
                && group.members().size() == service.vmsPerReplica();
    }
}
