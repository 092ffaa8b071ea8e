package io.sesamehead.coordination.dispatch;

import com.google.common.hash.Hashing;
import io.sesamehead.state.FailureDomain;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a call, or refuses the call immediately if its first event cannot arrive in a useful time.
 * During bursts and losses of groups there are fewer slots than callers, and a call that cannot meet its objective
 * would occupy the slot of one that can.
 */
public final class Dispatcher {
    /**
     * Load differences below this many calls are decided at random, so that daemons do not all choose the same
     * target.
     */
    private static final double LOAD_JITTER_CALLS = 1.5;
    /** Number of targets compared when load is known only in aggregate: two choices give most of the gain over one. */
    private static final int SAMPLE_SIZE = 2;
    /** Load advantage that a target in another failure domain needs to be preferred, in calls. */
    private static final double REMOTE_PENALTY_CALLS = 0.5;
    /** Maximum fraction of the objective that the estimated latency may take. */
    private static final double OBJECTIVE_FRACTION = 0.9;
    /** Queue length, as a fraction of the slots, up to which a call retried by its caller may queue and be late. */
    private static final double LATE_QUEUE_FRACTION = 0.15;
    /** Load per slot, as reports show it, up to which an admitted call is sent: calls have ended since. */
    private static final double MAX_ADMITTED_LOAD = 1.25;
    /** Maximum relative jitter of the retry time, so that refused callers do not return at the same time. */
    private static final double RETRY_JITTER = 1.0;
    /** Minimum retry time, in milliseconds: one event interval of a busy target. */
    private static final long MIN_RETRY_MILLIS = 50;
    /** Retry time while no target serves, in milliseconds: about the duration of a repair with warm spares. */
    private static final long NO_TARGET_RETRY_MILLIS = 700;
    /** Maximum fraction of the caller's remaining time that the retry time may take. */
    private static final double MAX_RETRY_FRACTION = 0.3;

    private final FailureDomain localDomain;
    private final TargetTable table;
    private final UpstreamCapacity capacity;
    private final ServiceTimeEstimator serviceTimes;
    private final RandomGenerator random;
    private final DomainChoice domains;

    /**
     * Creates a dispatcher that chooses targets by their load alone.
     *
     * @param localDomain failure domain of this daemon
     * @param table load of the targets
     * @param capacity what the upstreams accept from this daemon
     * @param serviceTimes estimator of waiting and run times
     * @param random source of randomness
     */
    public Dispatcher(
            FailureDomain localDomain,
            TargetTable table,
            UpstreamCapacity capacity,
            ServiceTimeEstimator serviceTimes,
            RandomGenerator random) {
        this(localDomain, table, capacity, serviceTimes, random, DomainChoice.NONE);
    }

    /**
     * Creates a dispatcher.
     *
     * @param localDomain failure domain of this daemon
     * @param table load of the targets
     * @param capacity what the upstreams accept from this daemon
     * @param serviceTimes estimator of waiting and run times
     * @param random source of randomness
     * @param domains chooses the failure domain of a call
     */
    public Dispatcher(
            FailureDomain localDomain,
            TargetTable table,
            UpstreamCapacity capacity,
            ServiceTimeEstimator serviceTimes,
            RandomGenerator random,
            DomainChoice domains) {
        this.localDomain = localDomain;
        this.table = table;
        this.capacity = capacity;
        this.serviceTimes = serviceTimes;
        this.random = random;
        this.domains = domains;
    }

    /**
     * Chooses the target of a call, among the other targets if the preferred ones have no place, or refuses the call. The
     * preference does not hold for a call with a suspected part.
     *
     * @param request the call
     * @param preferred some of the targets
     * @param targets targets that serve the call and have not been tried
     * @param nowMillis current monotonic time, in milliseconds
     * @return the decision
     */
    public DispatchDecision decide(
            DispatchRequest request, List<Target> preferred, List<Target> targets, long nowMillis) {
        // Calls that may crash their target go to the one that all daemons choose, whatever was lost there.
        if (request.suspectedPart().isPresent() || preferred.size() == targets.size()) {
            return decide(request, targets, nowMillis);
        }
        DispatchDecision decision = decide(request, preferred, nowMillis);
        return decision instanceof DispatchDecision.Refuse ? decide(request, targets, nowMillis) : decision;
    }

    /**
     * Chooses the target of a call or refuses the call.
     *
     * @param request the call
     * @param targets targets that serve the call and have not been tried
     * @param nowMillis current monotonic time, in milliseconds
     * @return the decision
     */
    public DispatchDecision decide(DispatchRequest request, List<Target> targets, long nowMillis) {
        Optional<Target> best = request.suspectedPart()
                .flatMap(part -> isolated(part, targets, nowMillis))
                .or(() -> request.slotRule() == SlotRule.ADMITTED
                        ? byRoom(inChosenDomain(targets, nowMillis), nowMillis).or(() -> byRoom(targets, nowMillis))
                        : leastLoadedInChosenDomain(targets, nowMillis))
                .or(() -> leastLoaded(targets, nowMillis));
        if (best.isEmpty()) {
            OptionalLong available = earliestAvailableMillis(targets, nowMillis);
            if (available.isPresent()) {
                return new DispatchDecision.Refuse(
                        DispatchDecision.Reason.NO_PLACE, retryMillis(available.getAsLong(), request));
            }
            return new DispatchDecision.Refuse(
                    DispatchDecision.Reason.NO_TARGET, retryMillis(NO_TARGET_RETRY_MILLIS, request));
        }
        Target target = best.get();
        int load = table.inFlight(target.key());
        long expected = serviceTimes.firstEventMillis(target, load, request.promptTokens());
        int availableSlots = availableSlots(target, nowMillis);
        boolean admitted = request.slotRule() == SlotRule.ADMITTED
                && load < availableSlots * MAX_ADMITTED_LOAD
                && expected <= request.remainingMillis();
        if (admitted
                || load < availableSlots
                || (availableSlots == target.slots() && worthQueueing(request, target, load, expected))) {
            return new DispatchDecision.Send(target, expected);
        }
        return new DispatchDecision.Refuse(
                DispatchDecision.Reason.NO_PLACE, retryMillis(serviceTimes.waitMillis(target, load), request));
    }

    /**
     * Chooses a target for a call that may be repeated while every target is suspected. A silent target usually goes on
     * before a refused caller would return. One that is lost gets no call.
     *
     * @param request the call
     * @param targets targets that serve the call and have not been tried
     * @param mayQueue whether the call may wait for a slot, because its response has begun
     * @param nowMillis current monotonic time, in milliseconds
     * @return the decision, or empty if no target is likely to answer within the call's remaining time
     */
    public Optional<DispatchDecision.Send> decideAmongSilent(
            DispatchRequest request, List<Target> targets, boolean mayQueue, long nowMillis) {
        List<Target> silent = targets.stream()
                .filter(target -> table.isOnlySilent(target.key(), nowMillis))
                .filter(target -> mayQueue
                        ? capacity.mayResume(target, nowMillis)
                        : table.inFlight(target.key()) < availableSlots(target, nowMillis))
                .filter(target -> millisUntilFirstEvent(request, target, nowMillis) <= request.remainingMillis())
                .toList();
        return lowestScore(silent, nowMillis)
                .map(target -> new DispatchDecision.Send(target, millisUntilFirstEvent(request, target, nowMillis)));
    }

    /** Estimates the time until the first event of a call to a silent target that goes on, in milliseconds. */
    private long millisUntilFirstEvent(DispatchRequest request, Target target, long nowMillis) {
        long silentMillis = table.silence(target.key(), nowMillis).anywhereMillis();
        return Math.max(0, SilenceLimits.MAX_SOUND_SILENCE_MILLIS - silentMillis)
                + serviceTimes.firstEventMillis(target, table.inFlight(target.key()), request.promptTokens());
    }

    /**
     * Finds the target with a free slot that all daemons choose for calls with a suspected part, so that such calls
     * crash one target at a time.
     */
    private Optional<Target> isolated(CrashSubject part, List<Target> targets, long nowMillis) {
        return targets.stream()
                .filter(target -> isUsable(target, nowMillis))
                .filter(target -> table.inFlight(target.key()) < availableSlots(target, nowMillis))
                .max(Comparator.comparingLong(target -> isolationWeight(part, target.key())));
    }

    private static long isolationWeight(CrashSubject part, TargetKey target) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(part.value())
                .putUnencodedChars(target.name())
                .putLong(target.generation())
                .hash()
                .asLong();
    }

    private boolean worthQueueing(DispatchRequest request, Target target, int load, long expectedMillis) {
        if (expectedMillis > request.remainingMillis()) {
            return false;
        }
        boolean onTime = request.elapsedMillis() + expectedMillis <= request.objectiveMillis() * OBJECTIVE_FRACTION;
        boolean retried = request.slotRule() == SlotRule.RETRIED_MAY_QUEUE && request.elapsedMillis() > 0;
        return onTime || (retried && load < target.slots() * (1 + LATE_QUEUE_FRACTION));
    }

    /** Finds a target with a free slot in the failure domain that is chosen for the call, if any is. */
    private Optional<Target> leastLoadedInChosenDomain(List<Target> targets, long nowMillis) {
        return leastLoaded(inChosenDomain(targets, nowMillis), nowMillis)
                .filter(target -> table.inFlight(target.key()) < availableSlots(target, nowMillis));
    }

    /** Returns the targets in the failure domain that is chosen for the call, none if no domain is chosen. */
    private List<Target> inChosenDomain(List<Target> targets, long nowMillis) {
        Optional<FailureDomain> domain = domains.choose(targets, nowMillis);
        return targets.stream()
                .filter(target ->
                        domain.filter(target.upstream().failureDomain()::equals).isPresent())
                .toList();
    }

    /**
     * Finds the usable target with the lowest load relative to its slots, whether or not a slot is free. When load is
     * known only in aggregate, a random sample is compared first.
     *
     * @param targets targets that serve the call
     * @param nowMillis current monotonic time, in milliseconds
     * @return the target, or empty if none is usable
     */
    public Optional<Target> leastLoaded(List<Target> targets, long nowMillis) {
        List<Target> usable =
                targets.stream().filter(target -> isUsable(target, nowMillis)).toList();
        Optional<Target> sampled = table.hasAggregates() ? lowestScore(sample(usable), nowMillis) : Optional.empty();
        boolean hasFreeSlot =
                sampled.isPresent() && table.inFlight(sampled.get().key()) < availableSlots(sampled.get(), nowMillis);
        return hasFreeSlot ? sampled : lowestScore(usable, nowMillis);
    }

    /**
     * Chooses a target at random in proportion to the calls that each can take. Daemons with the same reports then send
     * each target about what it can take, instead of all choosing the one that has the most free slots.
     */
    private Optional<Target> byRoom(List<Target> targets, long nowMillis) {
        List<Target> usable = new ArrayList<>(targets.size());
        double[] sums = new double[targets.size()];
        double sum = 0;
        for (Target target : targets) {
            int slots = table.isUsable(target.key(), nowMillis) ? availableSlots(target, nowMillis) : 0;
            double room = slots <= 0
                    ? 0
                    : TargetRoom.perMilli(slots, table.inFlight(target.key()), serviceTimes.meanRunMillis(target));
            if (room > 0) {
                sum += room;
                sums[usable.size()] = sum;
                usable.add(target);
            }
        }
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        int found = Arrays.binarySearch(sums, 0, usable.size(), random.nextDouble(sum));
        return Optional.of(usable.get(Math.min(usable.size() - 1, found < 0 ? -found - 1 : found)));
    }

    /**
     * Finds the target with the lowest load at which a begun response may be resumed, whether or not a slot is free.
     *
     * @param targets targets that serve the call
     * @param nowMillis current monotonic time, in milliseconds
     * @return the target, or empty if none is usable
     */
    public Optional<Target> leastLoadedForResumption(List<Target> targets, long nowMillis) {
        return lowestScore(
                targets.stream()
                        .filter(target -> isUsableForResumption(target, nowMillis))
                        .toList(),
                nowMillis);
    }

    /**
     * Returns whether a call may be sent to a target now.
     *
     * @param target the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return false while the target is suspected, unreachable or accepts nothing
     */
    public boolean isUsable(Target target, long nowMillis) {
        return table.isUsable(target.key(), nowMillis) && availableSlots(target, nowMillis) > 0;
    }

    /**
     * Returns whether a begun response may be resumed at a target now.
     *
     * @param target the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return false while the target is suspected, unreachable or accepts nothing
     */
    public boolean isUsableForResumption(Target target, long nowMillis) {
        return table.isUsable(target.key(), nowMillis) && capacity.mayResume(target, nowMillis);
    }

    /**
     * Returns whether nothing at all may be sent to a target because its failure domain is evacuated.
     *
     * @param target the target
     * @return true while the failure domain of the upstream is evacuated
     */
    public boolean isEvacuated(Target target) {
        return capacity.isEvacuated(target);
    }

    /**
     * Records a request that is sent to a target. Every request counts, whether it is the first of its call or not and
     * whatever becomes of it.
     *
     * @param target the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordSent(Target target, long nowMillis) {
        table.recordSent(target.key(), nowMillis);
        capacity.recordSent(target, nowMillis);
    }

    /**
     * Records a call that is refused although targets serve it.
     *
     * @param targets the targets that serve it and have not been tried
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordRefused(List<Target> targets, long nowMillis) {
        capacity.recordRefused(targets, nowMillis);
    }

    private int availableSlots(Target target, long nowMillis) {
        return capacity.availableSlots(target, nowMillis);
    }

    /** Returns the time until the first target accepts calls again, in milliseconds, empty if none holds them back. */
    private OptionalLong earliestAvailableMillis(List<Target> targets, long nowMillis) {
        return targets.stream()
                .filter(target -> table.isUsable(target.key(), nowMillis))
                .mapToLong(target -> capacity.waitMillis(target, nowMillis))
                .filter(remaining -> remaining > 0)
                .min();
    }

    /**
     * Samples the targets to compare when load is known only in aggregate. All daemons then see the same figures, which
     * lag behind the calls sent since, and would choose the same few targets. Taking the better of two random targets
     * spreads the calls.
     */
    private List<Target> sample(List<Target> usable) {
        if (usable.size() <= SAMPLE_SIZE) {
            return usable;
        }
        return random.ints(0, usable.size())
                .distinct()
                .limit(SAMPLE_SIZE)
                .mapToObj(usable::get)
                .toList();
    }

    private Optional<Target> lowestScore(List<Target> targets, long nowMillis) {
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
        double calls = table.inFlight(target.key()) + random.nextDouble(LOAD_JITTER_CALLS);
        if (!target.upstream().failureDomain().equals(localDomain)) {
            calls += REMOTE_PENALTY_CALLS;
        }
        // A target that takes only resumed responses has no slots to share the load among.
        return calls / Math.max(1, availableSlots(target, nowMillis));
    }

    private long retryMillis(long waitMillis, DispatchRequest request) {
        double jitter = 1 + random.nextDouble() * RETRY_JITTER;
        long delay = Math.max(MIN_RETRY_MILLIS, (long) (waitMillis * jitter));
        return Math.min(delay, (long) (request.remainingMillis() * MAX_RETRY_FRACTION));
    }
}
