package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Group;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.VmId;
import java.util.Optional;
import java.util.function.Predicate;

/** Health of a group, derived from the evidence about its members. */
sealed interface GroupHealth {
    /** Every member is ready in this epoch. */
    record Complete() implements GroupHealth {}

    /** Every member answers, but at least one has not finished loading. */
    record Loading() implements GroupHealth {}

    /**
     * A member is no longer part of the current epoch: its engine was restarted or executed an order of another epoch.
     */
    record OutOfSync() implements GroupHealth {}

    /**
     * Members do not answer.
     *
     * @param members the members that do not answer
     * @param gone whether none of them is expected to return
     */
    record Missing(ImmutableSet<VmId> members, boolean gone) implements GroupHealth {}

    /**
     * Members are leaving or drained.
     *
     * @param members the members that are leaving, drained or do not answer
     */
    record Leaving(ImmutableSet<VmId> members) implements GroupHealth {}

    /** Derives the health of a group. */
    static GroupHealth of(Group group, Observations observations) {
        ImmutableSet<VmId> missing = group.members().stream()
                .map(Group.Member::vm)
                .filter(vm -> observations.freshReport(vm).isEmpty())
                .collect(ImmutableSet.toImmutableSet());
        ImmutableSet<VmId> leaving = group.members().stream()
                .map(Group.Member::vm)
                .filter(observations::isLeaving)
                .collect(ImmutableSet.toImmutableSet());
        if (!leaving.isEmpty()) {
            return new Leaving(ImmutableSet.copyOf(Sets.union(leaving, missing)));
        }
        if (!missing.isEmpty()) {
            return new Missing(missing, missing.stream().allMatch(observations::isGone));
        }
        if (any(group, member -> isOutOfSync(group, member, observations.freshReport(member.vm())))) {
            return new OutOfSync();
        }
        boolean ready = group.members().stream()
                .allMatch(member -> isReady(group, member, observations.freshReport(member.vm())));
        return ready ? new Complete() : new Loading();
    }

    /**
     * Returns the members that are not ready. The head waits for the others, so it is included only if all others are.
     */
    static ImmutableSet<VmId> unready(Group group, Observations observations) {
        ImmutableSet<VmId> unready = group.members().stream()
                .filter(member -> !isReady(group, member, observations.freshReport(member.vm())))
                .map(Group.Member::vm)
                .collect(ImmutableSet.toImmutableSet());
        VmId head = group.head().vm();
        return unready.size() == 1
                ? unready
                : unready.stream().filter(vm -> !vm.equals(head)).collect(ImmutableSet.toImmutableSet());
    }

    /** Whether an engine reports the group in its current epoch. */
    static boolean reportsCurrentEpoch(Group group, MemberReport report) {
        return report.group().equals(Optional.of(group.id())) && report.epoch().equals(group.epoch());
    }

    private static boolean any(Group group, Predicate<Group.Member> condition) {
        return group.members().stream().anyMatch(condition);
    }

    private static boolean isOutOfSync(Group group, Group.Member member, Optional<MemberReport> report) {
        boolean sameEngine = member.engine().equals(report.map(MemberReport::engine));
        return member.engine().isPresent()
                && !(sameEngine
                        && report.map(it -> reportsCurrentEpoch(group, it)).orElse(false));
    }

    private static boolean isReady(Group group, Group.Member member, Optional<MemberReport> report) {
        return member.engine().isPresent()
                && report.map(it -> it.state() == EngineState.READY && reportsCurrentEpoch(group, it))
                        .orElse(false);
    }
}
