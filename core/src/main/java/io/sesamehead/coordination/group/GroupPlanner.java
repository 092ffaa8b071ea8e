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
 * Plans the next assignment of a failure domain: which groups to form, repair or release. The result equals the stored
 * assignment if nothing changes.
 */
final class GroupPlanner {
    private static final Comparator<ModelService> LARGEST_FIRST = Comparator.comparingInt(
                    ModelService::acceleratorMemoryGb)
            .thenComparingInt(ModelService::vmsPerReplica)
            .reversed()
            .thenComparing(service -> service.name().value());

    private final Observations observations;
    private final GroupTimes times;
    private final EpochCounter epochs;
    private final AcceptedRelease release;
    private final PlacementPlanner placementPlanner;
    private final RepairPolicy policy;

    GroupPlanner(
            Observations observations,
            GroupTimes times,
            EpochCounter epochs,
            AcceptedRelease release,
            PlacementPlanner placementPlanner,
            RepairPolicy policy) {
        this.observations = observations;
        this.times = times;
        this.epochs = epochs;
        this.release = release;
        this.placementPlanner = placementPlanner;
        this.policy = policy;
    }

    GroupAssignment plan(GroupAssignment stored) {
        AssignmentBuilder builder = new AssignmentBuilder(stored);
        builder.removeRecoveredVms(observations);
        for (Group group : stored.groups()) {
            if (group.state() == GroupState.RELEASING) {
                finishRelease(builder, group);
            } else {
                recordEngines(builder, group);
            }
        }
        ImmutableList<ModelService> desired = desiredServices(stored.failureDomain());
        builder.groups().stream()
                .filter(group -> desired.stream().noneMatch(it -> it.name().equals(group.service())))
                .forEach(builder::startRelease);
        RepairPlanner repairPlanner =
                new RepairPlanner(observations, times, epochs, placementPlanner, policy, release.note());
        desired.forEach(service -> repairPlanner.plan(builder, service));
        desired.forEach(service -> new ReplicaPlanner(observations, epochs, placementPlanner, service).plan(builder));
        return builder.build(epochs);
    }

    /** Services with the largest demand come first, because smaller ones fit more easily into the remaining VMs. */
    private ImmutableList<ModelService> desiredServices(FailureDomain failureDomain) {
        return release.note().services().values().stream()
                .filter(ModelService.class::isInstance)
                .map(ModelService.class::cast)
                .filter(service -> service.failureDomains().contains(failureDomain))
                .filter(service -> !release.note().withdrawn().contains(service.name()))
                .sorted(LARGEST_FIRST)
                .collect(ImmutableList.toImmutableList());
    }

    /** Removes a group once all its reachable members report that they left it; records the others as lost. */
    private void finishRelease(AssignmentBuilder builder, Group group) {
        boolean confirmed = group.members().stream()
                .allMatch(member -> observations.freshReport(member.vm()).isEmpty() || reportsNoGroup(member));
        if (confirmed) {
            group.members().stream()
                    .map(Group.Member::vm)
                    .filter(vm -> observations.freshReport(vm).isEmpty())
                    .forEach(builder::markLost);
            builder.remove(group);
        }
    }

    private boolean reportsNoGroup(Group.Member member) {
        return !observations.orderInFlight(member.vm())
                && observations
                        .settledReport(member.vm())
                        .map(report -> report.group().isEmpty())
                        .orElse(false);
    }

    /** Records the incarnation of each engine that accepted its load order. */
    private void recordEngines(AssignmentBuilder builder, Group group) {
        ImmutableList<Group.Member> members = group.members().stream()
                .map(member -> withReportedEngine(group, member))
                .collect(ImmutableList.toImmutableList());
        builder.replace(AssignmentBuilder.withMembers(group, members));
    }

    private Group.Member withReportedEngine(Group group, Group.Member member) {
        if (member.engine().isPresent()) {
            return member;
        }
        return observations
                .freshReport(member.vm())
                .filter(report -> GroupHealth.reportsCurrentEpoch(group, report))
                .map(report -> new Group.Member(member.vm(), Optional.of(report.engine())))
                .orElse(member);
    }

    /** Returns the groups of a service that are not being released, ordered by group number. */
    static ImmutableList<Group> active(AssignmentBuilder builder, ModelService service) {
        return builder.groups().stream()
                .filter(group -> group.service().equals(service.name()))
                .filter(group -> group.state() != GroupState.RELEASING)
                .collect(ImmutableList.toImmutableList());
    }

    /** Whether a group matches the release in model, version and size. */
    static boolean isCurrent(Group group, ModelService service) {
        return group.model().equals(service.model())
                && group.version().equals(service.version())
                && group.members().size() == service.vmsPerReplica();
    }
}
