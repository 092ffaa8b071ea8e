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
    private final Packing packing;
    private final ModelService service;

    ReplicaPlanner(Observations seen, EpochCounter epochs, Packing packing, ModelService service) {
        this.seen = seen;
        this.epochs = epochs;
        this.packing = packing;
        this.service = service;
    }

    void plan(Draft draft) {
        releaseIdleOldGroups(draft);
        formMissing(draft);
        releaseSurplus(draft);
        rollNext(draft);
    }

    /** Groups of an old version that do not serve are not worth a repair. */
    private void releaseIdleOldGroups(Draft draft) {
        old(draft).stream().filter(group -> group.state() != GroupState.SERVING).forEach(draft::release);
    }

    /** Forms replicas up to the wanted count, and one more while old groups still serve. */
    private void formMissing(Draft draft) {
        int oldCount = old(draft).size();
        int limit = service.replicas() + (oldCount > 0 ? 1 : 0);
        while (current(draft).size() < service.replicas() && current(draft).size() + oldCount < limit && form(draft)) {
            continue;
        }
    }

    private boolean form(Draft draft) {
        Optional<ImmutableList<Group.Member>> members = packing.newGroup(
                        seen.free(draft.groups()), service.vmsPerReplica(), service.acceleratorMemoryGb())
                .map(vms -> vms.stream()
                        .map(vm -> new Group.Member(vm.id(), Optional.empty()))
                        .collect(ImmutableList.toImmutableList()));
        members.ifPresent(chosen -> draft.form(service, epochs.next(), chosen));
        return members.isPresent();
    }

    private void releaseSurplus(Draft draft) {
        List<Group> current = current(draft);
        int surplus = current.size() - service.replicas();
        current.stream().sorted(LEAST_USEFUL_FIRST).limit(Math.max(0, surplus)).forEach(draft::release);
    }

    /**
     * Releases one old group once nothing else of the service is in transition. A broken group that waits for VMs does
     * not block this while another group goes on serving.
     */
    private void rollNext(Draft draft) {
        List<Group> old = old(draft);
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
            draft.release(old.get(0));
        }
    }

    private List<Group> current(Draft draft) {
        return GroupPlanner.active(draft, service).stream()
                .filter(group -> GroupPlanner.isCurrent(group, service))
                .toList();
    }

    private List<Group> old(Draft draft) {
        return GroupPlanner.active(draft, service).stream()
                .filter(group -> !GroupPlanner.isCurrent(group, service))
                .toList();
    }
}
