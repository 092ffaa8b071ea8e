package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Group;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.VmId;
import java.util.Optional;
import java.util.function.Predicate;

/** What the controller concludes about the members of a group. */
sealed interface GroupHealth {
    /** Every member is ready in this epoch. */
    record Complete() implements GroupHealth {}

    /** Every member answers; some did not finish loading. */
    record Loading() implements GroupHealth {}

    /** A member lost its place: its engine was restarted or took an order of another epoch. */
    record OutOfSync() implements GroupHealth {}

    /**
     * Members do not answer.
     *
     * @param members the members
     * @param gone true when none of them is expected back
     */
    record Missing(ImmutableSet<VmId> members, boolean gone) implements GroupHealth {}

    /**
     * Members are leaving or drained.
     *
     * @param members the members, with those that do not answer
     */
    record Leaving(ImmutableSet<VmId> members) implements GroupHealth {}

    /** Judges a group by what is known of its members. */
    static GroupHealth of(Group group, Observations seen) {
        ImmutableSet<VmId> missing = group.members().stream()
                .map(Group.Member::vm)
                .filter(vm -> seen.freshReport(vm).isEmpty())
                .collect(ImmutableSet.toImmutableSet());
        ImmutableSet<VmId> leaving = group.members().stream()
                .map(Group.Member::vm)
                .filter(seen::isLeaving)
                .collect(ImmutableSet.toImmutableSet());
        if (!leaving.isEmpty()) {
            return new Leaving(ImmutableSet.copyOf(Sets.union(leaving, missing)));
        }
        if (!missing.isEmpty()) {
            return new Missing(missing, missing.stream().allMatch(seen::isGone));
        }
        if (any(group, member -> isOutOfSync(group, member, seen.freshReport(member.vm())))) {
            return new OutOfSync();
        }
        boolean ready =
                group.members().stream().allMatch(member -> isReady(group, member, seen.freshReport(member.vm())));
        return ready ? new Complete() : new Loading();
    }

    /** Returns the members that are not ready; the head only where all others are, because it waits for them. */
    static ImmutableSet<VmId> unready(Group group, Observations seen) {
        ImmutableSet<VmId> unready = group.members().stream()
                .filter(member -> !isReady(group, member, seen.freshReport(member.vm())))
                .map(Group.Member::vm)
                .collect(ImmutableSet.toImmutableSet());
        VmId head = group.head().vm();
        return unready.size() == 1
                ? unready
                : unready.stream().filter(vm -> !vm.equals(head)).collect(ImmutableSet.toImmutableSet());
    }

    /** Tells whether an engine reports the group in its present epoch. */
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
