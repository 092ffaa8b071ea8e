package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.ServiceSpec.ModelService;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Forms and releases replicas of one service to match the release; rolls out a new version one group at a time. */
final class ReplicaPlanner {
    private static final Comparator<Group> LEAST_USEFUL_FIRST = Comparator.<Group>comparingInt(
                    group -> group.state() == GroupState.SERVING ? 1 : 0)
            .thenComparing(Group::epoch, Comparator.reverseOrder());

    private final Observations observations;
    private final EpochCounter epochs;
    private final PlacementPlanner placementPlanner;
    private final ModelService service;

    ReplicaPlanner(
            Observations observations, EpochCounter epochs, PlacementPlanner placementPlanner, ModelService service) {
        this.observations = observations;
        this.epochs = epochs;
        this.placementPlanner = placementPlanner;
        this.service = service;
    }

    void plan(AssignmentBuilder builder) {
        releaseIdleOutdatedGroups(builder);
        formMissing(builder);
        releaseSurplus(builder);
        rollOutNext(builder);
    }

    /** Releases outdated groups that do not serve, rather than repairing them. */
    private void releaseIdleOutdatedGroups(AssignmentBuilder builder) {
        outdatedGroups(builder).stream()
                .filter(group -> group.state() != GroupState.SERVING)
                .forEach(builder::startRelease);
    }

    /** Forms replicas up to the desired count. While outdated groups remain, the total may exceed the count by one. */
    private void formMissing(AssignmentBuilder builder) {
        int outdatedCount = outdatedGroups(builder).size();
        int limit = service.replicas() + (outdatedCount > 0 ? 1 : 0);
        while (currentGroups(builder).size() < service.replicas()
                && currentGroups(builder).size() + outdatedCount < limit
                && form(builder)) {
            continue;
        }
    }

    private boolean form(AssignmentBuilder builder) {
        Optional<ImmutableList<Group.Member>> members = placementPlanner
                .placeGroup(
                        observations.freeVms(builder.groups()), service.vmsPerReplica(), service.acceleratorMemoryGb())
                .map(vms -> vms.stream()
                        .map(vm -> new Group.Member(vm.id(), Optional.empty()))
                        .collect(ImmutableList.toImmutableList()));
        members.ifPresent(chosen -> builder.formGroup(service, epochs.next(), chosen));
        return members.isPresent();
    }

    private void releaseSurplus(AssignmentBuilder builder) {
        List<Group> current = currentGroups(builder);
        int surplus = current.size() - service.replicas();
        current.stream().sorted(LEAST_USEFUL_FIRST).limit(Math.max(0, surplus)).forEach(builder::startRelease);
    }

    /**
     * Releases one outdated group if no group of the service is forming or being released. A broken group that waits
     * for VMs blocks this only if no other group would remain serving.
     */
    private void rollOutNext(AssignmentBuilder builder) {
        List<Group> outdated = outdatedGroups(builder);
        List<Group> all = builder.groups().stream()
                .filter(group -> group.service().equals(service.name()))
                .toList();
        boolean inTransition = all.stream()
                .anyMatch(group -> group.state() == GroupState.FORMING || group.state() == GroupState.RELEASING);
        boolean broken = all.stream().anyMatch(group -> group.state() == GroupState.BROKEN);
        long serving = all.stream()
                .filter(group -> group.state() == GroupState.SERVING)
                .count();
        if (!outdated.isEmpty() && !inTransition && (!broken || serving > 1)) {
            builder.startRelease(outdated.get(0));
        }
    }

    private List<Group> currentGroups(AssignmentBuilder builder) {
        return GroupPlanner.active(builder, service).stream()
                .filter(group -> GroupPlanner.isCurrent(group, service))
                .toList();
    }

    private List<Group> outdatedGroups(AssignmentBuilder builder) {
        return GroupPlanner.active(builder, service).stream()
                .filter(group -> !GroupPlanner.isCurrent(group, service))
                .toList();
    }
}
