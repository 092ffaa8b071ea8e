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
 * Forms, repairs and releases the groups of one failure domain. Orders are derived only from an assignment that was
 * stored under the current lease, so an assignment is always written before its orders are sent.
 *
 * <p>One task calls {@link #step}; answers to orders may be recorded from other threads. Guarded by its own monitor,
 * which is a leaf lock: no other lock is acquired while holding it.
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
     * @param settings timeouts and limits
     */
    public Controller(FailureDomain failureDomain, ControllerSettings settings) {
        this(failureDomain, settings, RepairPolicy::of);
    }

    /**
     * Creates a controller with a repair policy other than the release note's, to compare policies.
     *
     * @param failureDomain the failure domain
     * @param settings timeouts and limits
     * @param repairPolicy returns the repair policy for the policy settings of a release note
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
     * Plans the next actions. Called at least once a second, and after each write of the assignment.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param view current input of the controller
     * @return the actions to execute, in order; empty without a lease or a release, or if the assignment was written
     *     under a later lease
     * @throws IllegalArgumentException if the assignment is for another failure domain
     */
    public synchronized ImmutableList<ControllerAction> step(long nowMillis, ControllerView view) {
        if (!view.assignment().failureDomain().equals(failureDomain)) {
            throw new IllegalArgumentException("the assignment is not of the controller's failure domain: "
                    + view.assignment().failureDomain());
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
     * Whether an order may still be sent; if so, its maximum time in flight starts now. Must be called immediately
     * before sending: an order that was delayed by a busy worker or a slow write may be sent after the controller
     * assigned its VM to another group.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param order the order
     * @return false if the order must no longer be sent
     */
    public synchronized boolean startSend(long nowMillis, ControllerAction.Order order) {
        return orderTracker.startSend(nowMillis, order);
    }

    /**
     * Records that an order was answered or was certainly not sent, so that it cannot take effect later. Without this
     * call, an order counts as in flight for {@code longestOrderMillis}.
     *
     * @param order the order
     */
    public synchronized void recordAnswered(ControllerAction.Order order) {
        orderTracker.recordAnswered(order);
    }

    /**
     * Returns the number of orders that can still take effect.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the number of orders in flight, for {@code LeaseHolder.release}
     */
    public synchronized int ordersInFlight(long nowMillis) {
        return orderTracker.inFlight(nowMillis);
    }

    private ImmutableList<ControllerAction> stepUnderLease(
            long nowMillis, ControllerView view, HeldLease lease, AcceptedRelease release) {
        Observations observations = new Observations(nowMillis, lease, view, settings, orderTracker);
        if (!observations.unobservedSinceLease().isEmpty()) {
            return observations.unobservedSinceLease().stream()
                    .map(ControllerAction.ReadStatus::new)
                    .collect(ImmutableList.toImmutableList());
        }
        EpochState currentEpoch = epochStateFor(nowMillis, lease, release);
        currentEpoch.epochs.skipUsed(view.assignment());
        GroupAssignment next = plan(observations, currentEpoch, view.assignment(), release);
        currentEpoch.epochs.skipUsed(next);
        ImmutableList.Builder<ControllerAction> actions = ImmutableList.builder();
        if (view.assignment().controllerEpoch() == lease.epoch()) {
            actions.addAll(
                    new OrderPlanner(observations, settings, times, currentEpoch.loadLimiter, currentEpoch.epochs)
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
            Observations observations, EpochState currentEpoch, GroupAssignment stored, AcceptedRelease release) {
        PlacementPlanner placementPlanner = new PlacementPlanner(
                release.note().policy().sparesPerFabricDomain(),
                vm -> flapHistory.recentFaults(observations.nowMillis(), vm));
        return new GroupPlanner(
                        observations,
                        times,
                        currentEpoch.epochs,
                        release,
                        placementPlanner,
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

    /** State that is kept for one controller epoch. */
    private record EpochState(EpochCounter epochs, LoadRateLimiter loadLimiter) {}
}
