package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.catalog.DomainDelays;
import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.coordination.dispatch.DomainSplit.DomainLoad;
import io.sesamehead.state.FailureDomain;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses failure domains by the {@link DomainSplit} of what all daemons have in flight. It leaves the choice open while
 * fewer than two domains have usable targets, or while the origins of any domain with usable targets are not known. Not
 * thread-safe: confined to the event loop.
 */
public final class SplitDomainChoice implements DomainChoice {
    /**
     * Time for which a split is used, in milliseconds: about half of the report interval. Daemons run on a quarter of a
     * core.
     */
    private static final long CACHE_MILLIS = 100;
    /** Number of pools whose splits are kept. */
    private static final int MAX_POOLS = 256;
    /** Minimum change of the fraction of calls that stay, for which the listener is called. */
    private static final double NOTABLE_CHANGE = 0.1;
    /** Minimum time between two calls of the listener for a pool, in milliseconds. */
    private static final long NOTICE_INTERVAL_MILLIS = 1_000;
    /** Passes of a batch until the first event: the running one, and the one after the prefill. */
    private static final double PASSES_PER_FIRST_EVENT = 2;

    private final FailureDomain localDomain;
    private final TargetTable table;
    private final UpstreamCapacity capacity;
    private final OriginLoads origins;
    private final Function<TargetPool, List<Target>> targetsByPool;
    private final ToDoubleFunction<TargetPool> byteMillis;
    private final Listener listener;
    private final RandomGenerator random;
    private final Map<TargetPool, PoolSplit> splits = new HashMap<>();

    /** Is told of notable changes. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when the fraction of calls that stay has changed.
         *
         * @param pool the pool
         * @param homeFraction fraction of this domain's calls that stay in it
         * @param level calls in flight per slot of this domain after the division
         */
        void onChange(TargetPool pool, double homeFraction, double level);
    }

    /** The split of one pool and what the listener was last told of it. */
    private static final class PoolSplit {
        private Optional<DomainSplit> split = Optional.empty();
        private final Map<FailureDomain, SmoothedDemand> demands = new HashMap<>();
        private long computedAtMillis = Long.MIN_VALUE / 2;
        private double toldFraction = 1;
        private long toldAtMillis = Long.MIN_VALUE / 2;
    }

    /** Usable targets of one domain. */
    private static final class Usable {
        private int targets;
        private int slots;
    }

    /**
     * Creates a choice that knows nothing of other daemons yet.
     *
     * @param localDomain failure domain of this daemon
     * @param table load of the targets
     * @param capacity what the upstreams accept from this daemon
     * @param origins calls in flight of the other daemons by the failure domain that they come from
     * @param targetsByPool returns all targets of a pool
     * @param byteMillis delay that is accepted to keep the bytes of a pool's call in its failure domain, in milliseconds
     * @param listener is told of notable changes
     * @param random source of randomness
     */
    public SplitDomainChoice(
            FailureDomain localDomain,
            TargetTable table,
            UpstreamCapacity capacity,
            OriginLoads origins,
            Function<TargetPool, List<Target>> targetsByPool,
            ToDoubleFunction<TargetPool> byteMillis,
            Listener listener,
            RandomGenerator random) {
        this.localDomain = localDomain;
        this.table = table;
        this.capacity = capacity;
        this.origins = origins;
        this.targetsByPool = targetsByPool;
        this.byteMillis = byteMillis;
        this.listener = listener;
        this.random = random;
    }

    @Override
    public Optional<FailureDomain> choose(List<Target> targets, long nowMillis) {
        if (targets.isEmpty()) {
            return Optional.empty();
        }
        return split(TargetPool.of(targets.get(0)), nowMillis)
                .map(split -> split.choose(localDomain, random.nextDouble()));
    }

    /**
     * Returns the split of a pool in force.
     *
     * @param pool the pool
     * @param nowMillis current monotonic time, in milliseconds
     * @return the split, empty if the load of the single targets decides
     */
    public Optional<DomainSplit> split(TargetPool pool, long nowMillis) {
        if (splits.size() >= MAX_POOLS && !splits.containsKey(pool)) {
            splits.clear();
        }
        PoolSplit known = splits.computeIfAbsent(pool, key -> new PoolSplit());
        if (nowMillis - known.computedAtMillis >= CACHE_MILLIS) {
            known.split = compute(pool, known, nowMillis);
            known.computedAtMillis = nowMillis;
            notifyListener(pool, known, nowMillis);
        }
        return known.split;
    }

    private void notifyListener(TargetPool pool, PoolSplit known, long nowMillis) {
        double fraction = known.split
                .map(split -> split.fraction(localDomain, localDomain))
                .orElse(1.0);
        if (Math.abs(fraction - known.toldFraction) > NOTABLE_CHANGE
                && nowMillis - known.toldAtMillis >= NOTICE_INTERVAL_MILLIS) {
            known.toldFraction = fraction;
            known.toldAtMillis = nowMillis;
            listener.onChange(
                    pool,
                    fraction,
                    known.split.map(split -> split.level(localDomain)).orElse(0.0));
        }
    }

    private Optional<DomainSplit> compute(TargetPool pool, PoolSplit known, long nowMillis) {
        List<Target> targets = targetsByPool.apply(pool);
        // Sorted, so that all daemons move calls in the same order.
        Map<FailureDomain, Usable> usable = new TreeMap<>();
        int ownCalls = 0;
        for (Target target : targets) {
            ownCalls += table.ownInFlight(target.key());
            int slots = table.isUsable(target.key(), nowMillis) ? capacity.availableSlots(target, nowMillis) : 0;
            if (slots > 0) {
                Usable domain = usable.computeIfAbsent(target.upstream().failureDomain(), key -> new Usable());
                domain.targets++;
                domain.slots += slots;
            }
        }
        if (usable.size() < 2 || !origins.complete(nowMillis)) {
            return Optional.empty();
        }
        usable.computeIfAbsent(localDomain, key -> new Usable());
        origins.failureDomains(nowMillis).forEach(domain -> usable.computeIfAbsent(domain, key -> new Usable()));
        known.demands.keySet().retainAll(usable.keySet());
        List<DomainLoad> loads = new ArrayList<>(usable.size());
        for (Map.Entry<FailureDomain, Usable> entry : usable.entrySet()) {
            FailureDomain domain = entry.getKey();
            boolean local = domain.equals(localDomain);
            OptionalInt reported = origins.inFlight(domain, pool.hash(), nowMillis);
            if (reported.isEmpty() && !local) {
                return Optional.empty();
            }
            int calls = reported.orElse(0) + (local ? ownCalls : 0);
            double demand = known.demands
                    .computeIfAbsent(domain, key -> new SmoothedDemand())
                    .update(calls, nowMillis);
            loads.add(new DomainLoad(domain, entry.getValue().targets, entry.getValue().slots, demand));
        }
        return Optional.of(split(pool, targets.get(0), loads, known.split));
    }

    private DomainSplit split(TargetPool pool, Target target, List<DomainLoad> loads, Optional<DomainSplit> before) {
        Optional<EngineProfile> engine = target.engine();
        DomainDelays delays = engine.map(EngineProfile::delays).orElse(DomainDelays.NONE);
        double callMillis = engine.map(profile -> PASSES_PER_FIRST_EVENT
                        * profile.stepsPerEvent()
                        * profile.perSequenceMillis()
                        * target.timeFactor())
                .orElse(0.0);
        double weight = byteMillis.applyAsDouble(pool);
        return DomainSplit.compute(
                loads, (origin, other) -> 2 * delays.millis(origin, other) + weight, callMillis, before);
    }
}
