package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Derives the orders of one step from an assignment that the store holds. No VM gets an order while one is in flight. */
final class OrderPlanner {
    private final Observations seen;
    private final ControllerSettings settings;
    private final GroupTimes times;
    private final LoadRateLimiter loadLimiter;
    private final EpochCounter epochs;
    private final List<ControllerAction> orders = new ArrayList<>();

    OrderPlanner(
            Observations seen,
            ControllerSettings settings,
            GroupTimes times,
            LoadRateLimiter loadLimiter,
            EpochCounter epochs) {
        this.seen = seen;
        this.settings = settings;
        this.times = times;
        this.loadLimiter = loadLimiter;
        this.epochs = epochs;
    }

    /**
     * Derives the orders.
     *
     * @param stored the assignment in the store
     * @param next the assignment that is being written; groups that it changes get no orders
     */
    ImmutableList<ControllerAction> orders(GroupAssignment stored, GroupAssignment next) {
        Predicate<Group> unchanged = group -> next.groups().contains(group);
        stored.groups().stream()
                .filter(unchanged)
                .filter(group -> group.state() == GroupState.RELEASING)
                .filter(this::mayRelease)
                .forEach(this::releaseMembers);
        stored.groups().stream()
                .filter(unchanged)
                .filter(group -> group.state() == GroupState.FORMING)
                .sorted(Comparator.comparingLong(this::membersToLoad).thenComparing(Group::id))
                .forEach(this::loadMembers);
        Set<VmId> assigned = Stream.of(stored, next)
                .flatMap(assignment -> assignment.groups().stream())
                .flatMap(group -> group.members().stream())
                .map(Group.Member::vm)
                .collect(Collectors.toSet());
        seen.listed().stream().filter(vm -> !assigned.contains(vm.id())).forEach(this::releaseReportedGroup);
        return ImmutableList.copyOf(orders);
    }

    /** Groups that lack few loads come first, so that the weight store's limit completes groups one by one. */
    private long membersToLoad(Group group) {
        return group.members().stream()
                .filter(member -> seen.freshReport(member.vm())
                        .map(it -> !GroupHealth.reportsCurrentEpoch(group, it))
                        .orElse(true))
                .count();
    }

    private void loadMembers(Group group) {
        Optional<Vm> head = seen.listed(group.head().vm());
        if (head.isEmpty()) {
            return;
        }
        for (int rank = 0; rank < group.members().size(); rank++) {
            VmId id = group.members().get(rank).vm();
            Optional<Vm> vm = seen.listed(id);
            Optional<MemberReport> report = seen.settledReport(id);
            if (vm.isPresent() && report.isPresent() && !seen.orderInFlight(id)) {
                orderMember(group, vm.get(), rank, head.get().engineAddress(), report.get());
            }
        }
    }

    private void orderMember(Group group, Vm vm, int rank, String headAddress, MemberReport report) {
        if (GroupHealth.reportsCurrentEpoch(group, report)) {
            return;
        }
        if (report.group().isPresent() && !report.group().get().equals(group.id())) {
            release(vm, group.epoch(), report.group().get());
            return;
        }
        boolean loaded =
                report.group().isPresent() && report.model().equals(Optional.of(group.model() + "@" + group.version()));
        if (loaded) {
            orders.add(new ControllerAction.SendRole(
                    orderId("role", vm, group.epoch()), vm, group.epoch(), group, rank, headAddress));
        } else if (loadLimiter.tryAcquire()) {
            orders.add(new ControllerAction.SendLoad(
                    orderId("load", vm, group.epoch()), vm, group.epoch(), group, rank, headAddress));
        }
    }

    /** Daemons first learn that the group takes no work, then its work may finish within the grace time. */
    private boolean mayRelease(Group group) {
        long sinceMillis = times.releasingSinceMillis(seen.nowMillis(), group.id());
        long drainedAtMillis = sinceMillis + settings.drainMillis();
        if (seen.nowMillis() < drainedAtMillis) {
            return false;
        }
        boolean finished = group.members().stream().allMatch(member -> isFinished(member.vm(), drainedAtMillis));
        return finished || seen.nowMillis() - sinceMillis >= settings.releaseGraceMillis();
    }

    private boolean isFinished(VmId vm, long sinceMillis) {
        Optional<MemberReport> report = seen.freshReport(vm);
        return report.isEmpty()
                || (seen.observedSince(vm, sinceMillis)
                        && report.get().inFlight() + report.get().queued() == 0);
    }

    private void releaseMembers(Group group) {
        for (Group.Member member : group.members()) {
            seen.listed(member.vm()).ifPresent(this::releaseReportedGroup);
        }
    }

    private void releaseReportedGroup(Vm vm) {
        Optional<MemberReport> report = seen.settledReport(vm.id());
        if (report.isPresent() && report.get().group().isPresent() && !seen.orderInFlight(vm.id())) {
            release(vm, epochs.current(), report.get().group().get());
        }
    }

    private void release(Vm vm, Epoch epoch, GroupId group) {
        orders.add(new ControllerAction.SendRelease(orderId("release", vm, epoch), vm, epoch, group));
    }

    private String orderId(String kind, Vm vm, Epoch epoch) {
        return kind + "-" + vm.id() + "-" + epoch.value() + "-" + seen.nowMillis();
    }
}
