package io.sesamehead.coordination.admission;

import io.sesamehead.coordination.dispatch.Dispatcher;
import io.sesamehead.coordination.dispatch.ServiceTimeEstimator;
import io.sesamehead.coordination.dispatch.SlotRule;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetRoom;
import io.sesamehead.coordination.dispatch.TargetTable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides which calls get the slots of a pool while there are fewer slots than calls. All daemons compute the same
 * fractions from the arrivals and the load of all of them, and each admits this fraction of its own calls, because free
 * slots that a report shows are taken by others before a call arrives there. Not thread-safe: confined to the event loop.
 */
public final class SlotShares {
    /** Age at which the fractions of a pool are computed anew, in milliseconds. */
    private static final long REFRESH_MILLIS = 50;
    /** Least room, as a part of the calls that the slots complete: an overload never closes a pool. */
    private static final double MIN_ROOM_PART = 0.2;
    /** Time since a caller's first try above which a call is another try, in milliseconds. */
    private static final long RETURNING_MILLIS = 100;
    /** Maximum fraction of the caller's remaining time that the retry time may take. */
    private static final double MAX_RETRY_FRACTION = 0.3;
    /** Time after which an unused pool is removed, in milliseconds. */
    private static final long UNUSED_MILLIS = 60_000;
    /** Number of pools above which unused ones are removed. */
    private static final int MANY_POOLS = 64;

    /**
     * Load per slot up to which returning calls get what first tries leave. Targets with more calls make some of their
     * first events late.
     */
    private static final double RETURNING_LOAD = 0.8;
    /**
     * Load per slot below which all first tries are admitted, and late calls need not wait for their turns if the room
     * covers all calls.
     */
    private static final double OPEN_LOAD = 0.75;
    /** Mean age of the load that sums of a relay show, in milliseconds. */
    private static final long RELAYED_AGE_MILLIS = 270;
    /** Mean age of the load that reports of all daemons to all show, in milliseconds. */
    private static final long DIRECT_AGE_MILLIS = 90;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final SlotDecision AS_BEFORE = new SlotDecision.Admit(SlotRule.ON_TIME_MAY_QUEUE);
    private static final SlotDecision ADMITTED = new SlotDecision.Admit(SlotRule.ADMITTED);

    private final PoolArrivals arrivals;
    private final Dispatcher dispatcher;
    private final TargetTable table;
    private final ServiceTimeEstimator serviceTimes;
    private final RandomGenerator random;
    private final Map<Integer, Pool> pools = new HashMap<>();

    /** What was computed last for a pool. */
    private static final class Pool {
        private final Map<PoolArrivalKey, Double> credits = new HashMap<>();
        private Optional<Target> best = Optional.empty();
        private Optional<SlotDivision> division = Optional.empty();
        private double roomPerSecond;
        private double load;
        private final AdmittedHistory admitted = new AdmittedHistory();
        private long computedAtMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Creates the shares.
     *
     * @param arrivals calls that arrived lately at all daemons
     * @param dispatcher decides which targets are usable
     * @param table load of the targets
     * @param serviceTimes estimator of waiting and run times
     * @param random source of randomness
     */
    public SlotShares(
            PoolArrivals arrivals,
            Dispatcher dispatcher,
            TargetTable table,
            ServiceTimeEstimator serviceTimes,
            RandomGenerator random) {
        this.arrivals = arrivals;
        this.dispatcher = dispatcher;
        this.table = table;
        this.serviceTimes = serviceTimes;
        this.random = random;
    }

    /**
     * Counts a call that has arrived from its caller, and decides whether it may be dispatched.
     *
     * @param call the call
     * @param targets targets of its pool
     * @param nowMillis current monotonic time, in milliseconds
     * @return the decision
     */
    public SlotDecision decide(SlotCall call, List<Target> targets, long nowMillis) {
        Pool pool = pools.computeIfAbsent(call.pool(), hash -> new Pool());
        if (nowMillis - pool.computedAtMillis >= REFRESH_MILLIS) {
            compute(pool, call.pool(), targets, nowMillis);
        }
        long expectedMillis = pool.best
                .map(target -> serviceTimes.firstEventMillis(target, table.inFlight(target.key()), call.promptTokens()))
                .orElse(0L);
        boolean returning = call.elapsedMillis() > RETURNING_MILLIS;
        boolean late = returning && call.elapsedMillis() + expectedMillis > call.objectiveMillis();
        PoolArrivalKey key = new PoolArrivalKey(call.pool(), call.rank(), call.account(), late);
        Turn turn = Turn.of(call);
        if (pool.division.isEmpty() || !arrivals.isKnown(nowMillis)) {
            arrivals.record(key, nowMillis);
            return AS_BEFORE;
        }
        double fraction = pool.division.get().fraction(key);
        boolean open = fraction >= 1 && pool.load < OPEN_LOAD;
        if (open || !late || turn.isCounted()) {
            // Counting every try of a waiting call would make room seem scarcer than it is.
            arrivals.record(key, nowMillis);
        }
        if (expectedMillis > call.remainingMillis()) {
            return refuse(0, false, call, turn);
        }
        boolean admitted = open || (late ? turn.isDrawn(fraction) : takeCredit(pool, key, fraction));
        boolean accountOver = fraction < pool.division.get().meanFraction();
        return admitted ? ADMITTED : refuse(fraction, accountOver, call, turn);
    }

    /**
     * Computes the fractions of a pool anew. A daemon at which calls are rare follows the reports in this way.
     *
     * @param pool hash of the pool
     * @param targets targets of the pool
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void refresh(int pool, List<Target> targets, long nowMillis) {
        Pool known = pools.get(pool);
        if (known != null && nowMillis - known.computedAtMillis >= REFRESH_MILLIS) {
            compute(known, pool, targets, nowMillis);
        }
    }

    /**
     * Returns the calls per second that all pools together can take, as computed last for each of them.
     *
     * @return calls per second
     */
    public double roomPerSecond() {
        return pools.values().stream().mapToDouble(pool -> pool.roomPerSecond).sum();
    }

    private void compute(Pool pool, int hash, List<Target> targets, long nowMillis) {
        if (pools.size() > MANY_POOLS) {
            pools.values().removeIf(other -> other != pool && nowMillis - other.computedAtMillis > UNUSED_MILLIS);
        }
        pool.computedAtMillis = nowMillis;
        int slots = 0;
        int inFlight = 0;
        double bestLoad = Double.MAX_VALUE;
        pool.best = Optional.empty();
        for (Target target : targets) {
            if (!dispatcher.isUsable(target, nowMillis)) {
                continue;
            }
            int load = table.inFlight(target.key());
            slots += target.slots();
            inFlight += load;
            if ((double) load / target.slots() < bestLoad) {
                bestLoad = (double) load / target.slots();
                pool.best = Optional.of(target);
            }
        }
        Map<PoolArrivalKey, Double> perSecond = arrivals.perSecond(hash, nowMillis);
        if (pool.best.isEmpty()) {
            pool.division = Optional.empty();
            pool.roomPerSecond = 0;
            return;
        }
        double runMillis = Math.max(1, serviceTimes.meanRunMillis(pool.best.get()));
        long ageMillis = table.hasAggregates() ? RELAYED_AGE_MILLIS : DIRECT_AGE_MILLIS;
        double arrivedPerMilli =
                perSecond.values().stream().mapToDouble(rate -> rate).sum() / MILLIS_PER_SECOND;
        double sentPerMilli = arrivedPerMilli * pool.admitted.meanSince(nowMillis - ageMillis, nowMillis);
        double endedPerMilli = Math.min(slots, inFlight) / runMillis;
        double present = Math.max(0, inFlight + (sentPerMilli - endedPerMilli) * ageMillis);
        pool.load = present / slots;
        double perMilli = TargetRoom.perMilli(slots, present, runMillis);
        double leastPerMilli = MIN_ROOM_PART * slots / runMillis;
        pool.roomPerSecond = Math.max(leastPerMilli, perMilli) * MILLIS_PER_SECOND;
        if (pool.load < OPEN_LOAD) {
            pool.roomPerSecond = Math.max(pool.roomPerSecond, SlotDivision.roomForFirstTries(perSecond));
        }
        double quietPerMilli = TargetRoom.perMilli(slots, present, runMillis, RETURNING_LOAD);
        pool.division = Optional.of(SlotDivision.of(perSecond, pool.roomPerSecond, quietPerMilli * MILLIS_PER_SECOND));
        pool.admitted.add(pool.division.get().meanFraction(), nowMillis);
    }

    /** Admits a fraction of the calls so that it is followed even over few of them. Daemons begin at different points. */
    private boolean takeCredit(Pool pool, PoolArrivalKey key, double fraction) {
        double credit = pool.credits.computeIfAbsent(key, fresh -> random.nextDouble()) + fraction;
        boolean admitted = credit >= 1;
        pool.credits.put(key, admitted ? credit - 1 : credit);
        return admitted;
    }

    private SlotDecision refuse(double fraction, boolean accountOver, SlotCall call, Turn turn) {
        long longest = (long) (call.remainingMillis() * MAX_RETRY_FRACTION);
        long delay = Math.min(turn.retryMillis(random.nextDouble()), longest);
        return new SlotDecision.Refuse(fraction, accountOver, Math.max(0, delay));
    }
}
