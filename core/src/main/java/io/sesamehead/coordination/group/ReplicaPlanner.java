package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.ServiceSpec.ModelService;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Counts, forms and releases the replicas of one service; a change of version rolls one group at a time. */
final class ReplicaPlanner {
    private static final Comparator<Group> LEAST_USEFUL_FIRST = Comparator.<Group>comparingInt(
                    group -> group.state() == GroupState.SERVING ? 1 : 0)
            .thenComparing(Group::epoch, Comparator.reverseOrder());

    private final Observations seen;
    private final EpochCounter epochs;
    private final PlacementPlanner packing;
    private final ModelService service;

    ReplicaPlanner(Observations seen, EpochCounter epochs, PlacementPlanner packing, ModelService service) {
        this.seen = seen;
        this.epochs = epochs;
        this.packing = packing;
        this.service = service;
    }

    void plan(AssignmentBuilder draft) {
        releaseIdleOldGroups(draft);
        formMissing(draft);
        releaseSurplus(draft);
        rollNext(draft);
    }

    /** Groups of an old version that do not serve are not worth a repair. */
    private void releaseIdleOldGroups(AssignmentBuilder draft) {
        outdatedGroups(draft).stream()
                .filter(group -> group.state() != GroupState.SERVING)
                .forEach(draft::startRelease);
    }

    /** Forms replicas up to the wanted count, and one more while old groups still serve. */
    private void formMissing(AssignmentBuilder draft) {
        int oldCount = outdatedGroups(draft).size();
        int limit = service.replicas() + (oldCount > 0 ? 1 : 0);
        while (currentGroups(draft).size() < service.replicas()
                && currentGroups(draft).size() + oldCount < limit
                && form(draft)) {
            continue;
        }
    }

    private boolean form(AssignmentBuilder draft) {
        Optional<ImmutableList<Group.Member>> members = packing.placeGroup(
                        seen.freeVms(draft.groups()), service.vmsPerReplica(), service.acceleratorMemoryGb())
                .map(vms -> vms.stream()
                        .map(vm -> new Group.Member(vm.id(), Optional.empty()))
                        .collect(ImmutableList.toImmutableList()));
        members.ifPresent(chosen -> draft.formGroup(service, epochs.next(), chosen));
        return members.isPresent();
    }

    private void releaseSurplus(AssignmentBuilder draft) {
        List<Group> current = currentGroups(draft);
        int surplus = current.size() - service.replicas();
        current.stream().sorted(LEAST_USEFUL_FIRST).limit(Math.max(0, surplus)).forEach(draft::startRelease);
    }

    /**
     * Releases one old group once nothing else of the service is in transition. A broken group that waits for VMs does
     * not block this while another group goes on serving.
     */
    private void rollNext(AssignmentBuilder draft) {
        List<Group> old = outdatedGroups(draft);
        List<Group> all = draft.groups().stream()
                .filter(group -> group.service().equals(service.name()))
                .toList();
        boolean inTransition = all.stream()
                .anyMatch(group -> group.state() == GroupState.FORMING || group.state() == GroupState.RELEASING);
        boolean broken = all.stream().anyMatch(group -> group.state() == GroupState.BROKEN);
        long serving = all.stream()
                .filter(group -> group.state() == GroupState.SERVING)
                .count();
        if (!old.isEmpty() && !inTransition && (!broken || serving > 1)) {
            draft.startRelease(old.get(0));
        }
    }

    private List<Group> currentGroups(AssignmentBuilder draft) {
        return GroupPlanner.active(draft, service).stream()
                .filter(group -> GroupPlanner.isCurrent(group, service))
                .toList();
    }

    private List<Group> outdatedGroups(AssignmentBuilder draft) {
        return GroupPlanner.active(draft, service).stream()
                .filter(group -> !GroupPlanner.isCurrent(group, service))
                .toList();
    }
}
