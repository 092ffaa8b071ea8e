package io.sesamehead.coordination.dispatch;

import io.sesamehead.state.FailureDomain;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a call, or refuses it at once when its first event cannot come in a useful time. The load it
 * answers: bursts and losses of groups, when places are fewer than callers. A call that could not be on time would take
 * the place of one that can.
 */
public final class Dispatcher {
    /** Differences of load below this many calls are left to chance, so that daemons do not all choose alike. */
    private static final double CHANCE_CALLS = 1.5;
    /** Targets compared where calls are known as sums: two choices bring most of the gain over one. */
    private static final int SAMPLE = 2;
    /** Calls that a target in another failure domain must be ahead to be preferred. */
    private static final double DISTANCE_CALLS = 0.5;
    /** Part of the objective that an estimate may use up. */
    private static final double OBJECTIVE_PART = 0.9;
    /** Places beyond a target's own that a call without any chance of being on time may queue for. */
    private static final double LATE_QUEUE_PART = 0.15;
    /** Return times are spread over this factor, so that refused callers do not come back together. */
    private static final double RETURN_SPREAD = 1.0;
    /** Shortest return time, in milliseconds: an event interval of a busy target. */
    private static final long MIN_RETURN_MILLIS = 50;
    /** Return time while no target serves, in milliseconds: a repair with prepared upstreams takes about as long. */
    private static final long REPAIR_RETURN_MILLIS = 700;
    /** Part of the remaining time that a caller waits at most before it comes back. */
    private static final double RETURN_PART = 0.3;

    private final FailureDomain here;
    private final TargetTable table;
    private final BusyUpstreams busy;
    private final ServiceTimeEstimator times;
    private final RandomGenerator random;

    /**
     * Creates a dispatcher.
     *
     * @param here this daemon's failure domain
     * @param table load of the targets
     * @param busy upstreams that want nothing for a time
     * @param times how long calls take
     * @param random source of chance
     */
    public Dispatcher(
            FailureDomain here,
            TargetTable table,
            BusyUpstreams busy,
            ServiceTimeEstimator times,
            RandomGenerator random) {
        this.here = here;
        this.table = table;
        this.busy = busy;
        this.times = times;
        this.random = random;
    }

    /**
     * Decides where a call goes.
     *
     * @param request the call
     * @param targets targets that serve it and were not tried
     * @param nowMillis present steady time
     * @return the decision
     */
    public DispatchDecision decide(DispatchRequest request, List<Target> targets, long nowMillis) {
        Optional<Target> best = leastLoaded(targets, nowMillis);
        if (best.isEmpty()) {
            OptionalLong back = earliestReturn(targets, nowMillis);
            if (back.isPresent()) {
                return new DispatchDecision.Refuse(
                        DispatchDecision.Reason.NO_PLACE, returnMillis(back.getAsLong(), request));
            }
            return new DispatchDecision.Refuse(
                    DispatchDecision.Reason.NO_TARGET, returnMillis(REPAIR_RETURN_MILLIS, request));
        }
        Target target = best.get();
        int load = table.inFlight(target.key());
        long expected = times.firstEventMillis(target, load, request.promptTokens());
        int places = places(target, nowMillis);
        if (load < places || (places == target.slots() && worthQueueing(request, target, load, expected))) {
            return new DispatchDecision.Send(target, expected);
        }
        return new DispatchDecision.Refuse(
                DispatchDecision.Reason.NO_PLACE, returnMillis(times.waitMillis(target, load), request));
    }

    private boolean worthQueueing(DispatchRequest request, Target target, int load, long expectedMillis) {
        if (expectedMillis > request.remainingMillis()) {
            return false;
        }
        boolean onTime = request.elapsedMillis() + expectedMillis <= request.objectiveMillis() * OBJECTIVE_PART;
        boolean returned = request.elapsedMillis() > 0;
        return onTime || (returned && load < target.slots() * (1 + LATE_QUEUE_PART));
    }

    /**
     * Finds the target at which a call waits least, whether it has a free place or not.
     *
     * @param targets targets that serve the call
     * @param nowMillis present steady time
     * @return the target, or empty if none is usable
     */
    public Optional<Target> leastLoaded(List<Target> targets, long nowMillis) {
        List<Target> usable =
                targets.stream().filter(target -> isUsable(target, nowMillis)).toList();
        Optional<Target> sampled = table.hasAggregates() ? least(sample(usable), nowMillis) : Optional.empty();
        boolean hasPlace =
                sampled.isPresent() && table.inFlight(sampled.get().key()) < places(sampled.get(), nowMillis);
        return hasPlace ? sampled : least(usable, nowMillis);
    }

    /**
     * Tells whether a call may go to a target now.
     *
     * @param target the target
     * @param nowMillis present steady time
     * @return false while it is suspected, cannot be reached, or has asked this daemon to stay away
     */
    public boolean isUsable(Target target, long nowMillis) {
        return table.isUsable(target.key(), nowMillis)
                && !busy.isBusy(target.upstream().id(), nowMillis);
    }

    private int places(Target target, long nowMillis) {
        return busy.availableSlots(target.upstream().id(), target.slots(), nowMillis);
    }

    /** Returns the time until the first of the busy targets takes calls again, empty if none is busy. */
    private OptionalLong earliestReturn(List<Target> targets, long nowMillis) {
        return targets.stream()
                .filter(target -> table.isUsable(target.key(), nowMillis))
                .mapToLong(target -> busy.remainingMillis(target.upstream().id(), nowMillis))
                .filter(remaining -> remaining > 0)
                .min();
    }

    /**
     * Draws the targets to choose from where calls are known as sums. Many daemons hold the same sums, older than the calls
     * placed since: all would choose the same few targets, while the better of two drawn at random spreads them.
     */
    private List<Target> sample(List<Target> usable) {
        if (usable.size() <= SAMPLE) {
            return usable;
        }
        return random.ints(0, usable.size())
                .distinct()
                .limit(SAMPLE)
                .mapToObj(usable::get)
                .toList();
    }

    private Optional<Target> least(List<Target> targets, long nowMillis) {
        Target best = null;
        double bestScore = Double.MAX_VALUE;
        for (Target target : targets) {
            double score = score(target, nowMillis);
            if (score < bestScore) {
                best = target;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private double score(Target target, long nowMillis) {
        double calls = table.inFlight(target.key()) + random.nextDouble(CHANCE_CALLS);
        if (!target.upstream().failureDomain().equals(here)) {
            calls += DISTANCE_CALLS;
        }
        return calls / places(target, nowMillis);
    }

    private long returnMillis(long waitMillis, DispatchRequest request) {
        double spread = 1 + random.nextDouble() * RETURN_SPREAD;
        long wanted = Math.max(MIN_RETURN_MILLIS, (long) (waitMillis * spread));
        return Math.min(wanted, (long) (request.remainingMillis() * RETURN_PART));
    }
}
