package io.sesamehead.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Calls that arrived lately for pools whose slots are divided, at this daemon and as reported by the others. Not
 * thread-safe: confined to the event loop.
 */
public final class PoolArrivals {
    /** Time constant with which counts decay, in milliseconds: several reports of a relay. */
    public static final double DECAY_MILLIS = 2_000;
    /** Time constant of the rate of all calls for a pool, in milliseconds: two reports of a relay. */
    private static final double RECENT_MILLIS = 250;
    /** Largest factor between the rate in this time and the rate that the decaying counts show. */
    private static final double MAX_SURGE = 3;
    /** Calls in this time below which their number is left to chance. */
    private static final double MIN_RECENT = 4;
    /** Age after which a peer's report expires, in milliseconds: several consecutive lost datagrams. */
    private static final long REPORT_TTL_MILLIS = 1_200;
    /** Least part of the daemons whose arrivals must be known, so that those of the others can be assumed to be alike. */
    private static final double MIN_COUNTED_PART = 0.25;
    /** Maximum number of own counts: far more than accounts and ranks of a deployment. */
    private static final int MAX_OWN_COUNTS = 2_000;
    /** Counts below this value are dropped. */
    private static final double NEGLIGIBLE = 0.01;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<PoolArrivalKey, DecayingCount> own = new HashMap<>();
    private final Map<String, PeerCounts> peers = new HashMap<>();
    private final Map<PoolPart, RecentTotal> recentTotals = new HashMap<>();

    /** A count that decays exponentially. */
    private static final class DecayingCount {
        private double count;
        private long atMillis;

        private double at(long nowMillis) {
            return count * Math.exp(-Math.max(0, nowMillis - atMillis) / DECAY_MILLIS);
        }

        private void add(long nowMillis) {
            count = at(nowMillis) + 1;
            atMillis = nowMillis;
        }
    }

    /**
     * Calls for one pool that arrived in the last few reports. Differences of the decaying counts show them; the counts
     * themselves follow the beginning of a burst too late.
     */
    private static final class RecentTotal {
        private double counted;
        private double recent;
        private long atMillis = Long.MIN_VALUE;

        /** Returns the factor from the rate that a count shows to the rate in the last few reports. */
        private double factor(double count, long nowMillis) {
            if (atMillis == Long.MIN_VALUE) {
                recent = count * RECENT_MILLIS / DECAY_MILLIS;
            } else {
                double elapsed = Math.max(0, nowMillis - atMillis);
                double arrived = count - counted * Math.exp(-elapsed / DECAY_MILLIS);
                double left = Math.exp(-elapsed / RECENT_MILLIS);
                // The calls arrived all through this time, so that those at its beginning have decayed.
                double kept = elapsed <= 0 ? 1 : (1 - left) * RECENT_MILLIS / elapsed;
                recent = recent * left + arrived * kept;
            }
            counted = count;
            atMillis = nowMillis;
            double usual = count * RECENT_MILLIS / DECAY_MILLIS;
            return usual < MIN_RECENT ? 1 : Math.max(1 / MAX_SURGE, Math.min(MAX_SURGE, recent / usual));
        }
    }

    private record PoolPart(int pool, boolean returning) {}

    private record PeerCounts(PoolArrivalCounts counts, long receivedAtMillis) {}

    /** Creates counts of a daemon at which no call has arrived and that has received no reports. */
    public PoolArrivals() {}

    /**
     * Records the arrival of a call.
     *
     * @param key what it is counted by
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void record(PoolArrivalKey key, long nowMillis) {
        DecayingCount count = own.get(key);
        if (count == null) {
            if (own.size() >= MAX_OWN_COUNTS) {
                return;
            }
            count = new DecayingCount();
            own.put(key, count);
        }
        count.add(nowMillis);
    }

    /**
     * Returns whether the arrivals at enough daemons are known.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return false while no current report of another daemon states arrivals, or too few do
     */
    public boolean isKnown(long nowMillis) {
        expire(nowMillis);
        int daemons = 1;
        int counted = 1;
        for (PeerCounts peer : peers.values()) {
            daemons += peer.counts().daemons();
            counted += peer.counts().counted();
        }
        return counted > 1 && counted >= daemons * MIN_COUNTED_PART;
    }

    /**
     * Returns the rates at which calls arrive for a pool at all daemons. Daemons that state no arrivals are assumed to
     * receive as many as the mean of the others.
     *
     * @param pool hash of the pool
     * @param nowMillis current monotonic time, in milliseconds
     * @return calls per second
     */
    public Map<PoolArrivalKey, Double> perSecond(int pool, long nowMillis) {
        expire(nowMillis);
        Map<PoolArrivalKey, Double> sums = new HashMap<>();
        own.forEach((key, count) -> {
            if (key.pool() == pool) {
                sums.put(key, count.at(nowMillis));
            }
        });
        int daemons = 1;
        int counted = 1;
        for (PeerCounts peer : peers.values()) {
            daemons += peer.counts().daemons();
            counted += peer.counts().counted();
            peer.counts().arrived().forEach((key, count) -> {
                if (key.pool() == pool) {
                    sums.merge(key, count, Double::sum);
                }
            });
        }
        double factor = Math.max(1, (double) daemons / counted) * MILLIS_PER_SECOND / DECAY_MILLIS;
        double first = surge(sums, new PoolPart(pool, false), nowMillis);
        double returning = surge(sums, new PoolPart(pool, true), nowMillis);
        sums.replaceAll((key, count) -> count * factor * (key.returning() ? returning : first));
        return sums;
    }

    private double surge(Map<PoolArrivalKey, Double> counts, PoolPart part, long nowMillis) {
        double total = 0;
        for (Map.Entry<PoolArrivalKey, Double> row : counts.entrySet()) {
            total += row.getKey().returning() == part.returning() ? row.getValue() : 0;
        }
        return recentTotals.computeIfAbsent(part, fresh -> new RecentTotal()).factor(total, nowMillis);
    }

    /**
     * Replaces the previous report of a sender.
     *
     * @param sender a daemon, or a relay that sums up the reports of several daemons
     * @param counts what arrived at them lately
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void replaceReport(String sender, PoolArrivalCounts counts, long nowMillis) {
        peers.put(sender, new PeerCounts(counts, nowMillis));
    }

    /**
     * Removes the reports of selected senders.
     *
     * @param selected selects the senders whose reports are removed
     */
    public void removeReports(Predicate<String> selected) {
        peers.keySet().removeIf(selected);
    }

    /**
     * Returns this daemon's own counts.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the counts
     */
    public PoolArrivalCounts ownCounts(long nowMillis) {
        own.values().removeIf(count -> count.at(nowMillis) < NEGLIGIBLE);
        Map<PoolArrivalKey, Double> counts = new HashMap<>();
        own.forEach((key, count) -> counts.put(key, count.at(nowMillis)));
        return new PoolArrivalCounts(1, 1, counts);
    }

    /**
     * Returns this daemon's counts together with those of selected senders.
     *
     * @param selected selects the senders to include
     * @param nowMillis current monotonic time, in milliseconds
     * @return the sum
     */
    public PoolArrivalCounts aggregate(Predicate<String> selected, long nowMillis) {
        expire(nowMillis);
        PoolArrivalCounts sum = ownCounts(nowMillis);
        for (Map.Entry<String, PeerCounts> peer : peers.entrySet()) {
            if (selected.test(peer.getKey())) {
                sum = sum.plus(peer.getValue().counts());
            }
        }
        return sum;
    }

    private void expire(long nowMillis) {
        peers.values().removeIf(peer -> nowMillis - peer.receivedAtMillis() > REPORT_TTL_MILLIS);
    }
}
