package io.sesamehead.coordination.group;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.lease.HeldLease;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.ReleaseNote.PolicySettings;
import java.util.Optional;
import java.util.function.Function;

/**
 * The controller of one failure domain. Orders are derived only from an assignment that the store holds under the
 * present lease, so an intent is always written before its orders are sent. One task steps it; answers to orders may
 * come from other threads. Guarded by its own monitor, a leaf: no other lock is acquired under it.
 */
public final class Controller {
    private final FailureDomain failureDomain;
    private final ControllerSettings settings;
    private final Function<PolicySettings, RepairPolicy> repairPolicy;
    private final OrderTracker orderTracker;
    private final FlapHistory flapHistory = new FlapHistory();
    private final GroupTimes times = new GroupTimes();
    private Optional<EpochState> epochState = Optional.empty();

    /**
     * Creates a controller without history.
     *
     * @param failureDomain the failure domain
     * @param settings its times
     */
    public Controller(FailureDomain failureDomain, ControllerSettings settings) {
        this(failureDomain, settings, RepairPolicy::of);
    }

    /**
     * Creates a controller that decides about repairs by another rule than the release note's, for comparisons.
     *
     * @param failureDomain the failure domain
     * @param settings its times
     * @param repairPolicy the repair policy for the policy settings of a release note
     */
    public Controller(
            FailureDomain failureDomain,
            ControllerSettings settings,
            Function<PolicySettings, RepairPolicy> repairPolicy) {
        this.failureDomain = failureDomain;
        this.settings = settings;
        this.repairPolicy = repairPolicy;
        this.orderTracker = new OrderTracker(settings.longestOrderMillis());
    }

    /**
     * Takes one step. Steps follow each other in intervals of a second or less, and after each write of the assignment.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param view what the controller sees
     * @return what is to be done, in this order; empty without a lease or a release, or when the assignment was written
     *     under a later lease
     * @throws IllegalArgumentException if the view is of another failure domain
     */
    public synchronized ImmutableList<ControllerAction> step(long nowMillis, ControllerView view) {
        if (!view.assignment().failureDomain().equals(failureDomain)) {
            throw new IllegalArgumentException(
                    "assignment of another failure domain: " + view.assignment().failureDomain());
        }
        flapHistory.observe(nowMillis, view.evidence());
        times.observe(nowMillis, view.assignment().groups());
        orderTracker.settleAnswered(nowMillis);
        boolean orderable = view.lease().isPresent()
                && view.release().isPresent()
                && view.assignment().controllerEpoch() <= view.lease().get().epoch();
        if (!orderable) {
            return ImmutableList.of();
        }
        return stepUnderLease(
                nowMillis, view, view.lease().get(), view.release().get());
    }

    /**
     * Tells whether an order of a step may still be sent, and counts the longest order time from now. A sender asks
     * immediately before the send: an order that waited for a worker or a slow write can come too late, after the
     * controller gave its VM to another group.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param order the order
     * @return false when the order must not be sent any more
     */
    public synchronized boolean startSend(long nowMillis, ControllerAction.Order order) {
        return orderTracker.startSend(nowMillis, order);
    }

    /**
     * Records that an order was answered or certainly not sent, so that it has no effect later. Without this call an
     * order counts as in flight for the longest order time.
     *
     * @param order the order
     */
    public synchronized void recordAnswered(ControllerAction.Order order) {
        orderTracker.recordAnswered(order);
    }

    /**
     * Returns the number of orders that can still take effect.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @return the count, for {@code LeaseHolder.release}
     */
    public synchronized int ordersInFlight(long nowMillis) {
        return orderTracker.inFlight(nowMillis);
    }

    private ImmutableList<ControllerAction> stepUnderLease(
            long nowMillis, ControllerView view, HeldLease lease, AcceptedRelease release) {
        Observations seen = new Observations(nowMillis, lease, view, settings, orderTracker);
        if (!seen.unobservedSinceLease().isEmpty()) {
            return seen.unobservedSinceLease().stream()
                    .map(ControllerAction.ReadStatus::new)
                    .collect(ImmutableList.toImmutableList());
        }
        EpochState current = epochStateFor(nowMillis, lease, release);
        current.epochs.skipUsed(view.assignment());
        GroupAssignment next = plan(seen, current, view.assignment(), release);
        current.epochs.skipUsed(next);
        ImmutableList.Builder<ControllerAction> actions = ImmutableList.builder();
        if (view.assignment().controllerEpoch() == lease.epoch()) {
            actions.addAll(new OrderPlanner(seen, settings, times, current.loadLimiter, current.epochs)
                    .orders(view.assignment(), next));
        }
        if (!next.equals(view.assignment())) {
            actions.add(new ControllerAction.WriteAssignment(next));
        }
        ImmutableList<ControllerAction> result = actions.build();
        recordSentOrders(nowMillis, result);
        return result;
    }

    private GroupAssignment plan(
            Observations seen, EpochState current, GroupAssignment stored, AcceptedRelease release) {
        PlacementPlanner packing = new PlacementPlanner(
                release.note().policy().sparesPerFabricDomain(), vm -> flapHistory.recentFaults(seen.nowMillis(), vm));
        return new GroupPlanner(
                        seen,
                        times,
                        current.epochs,
                        release,
                        packing,
                        repairPolicy.apply(release.note().policy()))
                .plan(stored);
    }

    private EpochState epochStateFor(long nowMillis, HeldLease lease, AcceptedRelease release) {
        int loadsPerMinute = release.note().loadsPerMinute();
        if (epochState.isEmpty() || epochState.get().epochs.controllerEpoch() != lease.epoch()) {
            boolean first = lease.epoch() == 1;
            epochState = Optional.of(new EpochState(
                    new EpochCounter(lease.epoch()), new LoadRateLimiter(nowMillis, loadsPerMinute, first)));
        }
        epochState.get().loadLimiter.refill(nowMillis, loadsPerMinute);
        return epochState.get();
    }

    private void recordSentOrders(long nowMillis, ImmutableList<ControllerAction> actions) {
        for (ControllerAction action : actions) {
            if (action instanceof ControllerAction.Order order) {
                orderTracker.recordSent(nowMillis, order);
            }
        }
    }

    /** What lasts as long as one controller epoch. */
    private record EpochState(EpochCounter epochs, LoadRateLimiter loadLimiter) {}
}
