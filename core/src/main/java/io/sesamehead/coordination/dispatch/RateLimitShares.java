package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Decides whether this daemon may send a request to an upstream that limits the rate of requests from all daemons
 * together. Two limits hold at once. The requests that all daemons have sent lately, as far as this daemon knows, may not
 * exceed the upstream's limit. Between two reports, in which the daemons know nothing of each other's requests, each of
 * them sends at most at its share, which follows from the calls that arrived at it. Not thread-safe: confined to the event
 * loop.
 */
public final class RateLimitShares {
    /** Time constant with which counts of sent requests decay, in milliseconds: several reports of a relay. */
    private static final double SENT_DECAY_MILLIS = 2_000;
    /** Time constant with which counts of arrived calls decay, in milliseconds. */
    private static final double ARRIVED_DECAY_MILLIS = 4_000;
    /**
     * Factor on a daemon's share while all daemons report. Shares follow the arrivals with a delay, and what some daemons
     * leave unused others may use, since the requests of all daemons are limited as well.
     */
    private static final double SHARE_HEADROOM = 1.5;
    /** Fraction of a limit that all daemons use. The rest is for requests that no report has shown yet. */
    private static final double USABLE_FRACTION = 0.9;
    /** Time whose share a daemon may save up beyond one request, in milliseconds. */
    private static final double MAX_SAVED_MILLIS = 500;
    /**
     * Lowest rate at which an upstream is used, in requests per second: a limit of 0 would otherwise never be seen to
     * end.
     */
    private static final double MIN_PER_SECOND = 0.1;
    /** Arrivals that are added for each daemon, so that one at which no call has arrived lately has a share. */
    private static final double BASE_ARRIVALS = 0.5;
    /** Age after which a peer's report expires, in milliseconds: several consecutive lost datagrams. */
    private static final long REPORT_TTL_MILLIS = 1_200;
    /** Longest wait that is stated, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 60_000;
    /** Counts below this value are dropped. */
    private static final double NEGLIGIBLE = 0.01;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final StatedRateLimits limits;
    private final RandomGenerator random;
    private final Map<UpstreamIncarnation, DecayingCount> sent = new HashMap<>();
    private final Map<ServiceName, DecayingCount> arrived = new HashMap<>();
    private final Map<UpstreamIncarnation, Allowance> allowances = new HashMap<>();
    private final Map<String, PeerUsage> peers = new HashMap<>();
    /** Number of daemons in the store's list, with this one. */
    private int listedDaemons = 1;

    /** A count that decays exponentially. */
    private static final class DecayingCount {
        private final double timeConstantMillis;
        private double count;
        private double countBeforeLatest;
        private long atMillis;

        private DecayingCount(double timeConstantMillis) {
            this.timeConstantMillis = timeConstantMillis;
        }

        private double at(long nowMillis) {
            return count * decay(nowMillis);
        }

        private double beforeLatestAt(long nowMillis) {
            return countBeforeLatest * decay(nowMillis);
        }

        private double decay(long nowMillis) {
            return Math.exp(-Math.max(0, nowMillis - atMillis) / timeConstantMillis);
        }

        private void add(long nowMillis) {
            countBeforeLatest = at(nowMillis);
            count = countBeforeLatest + 1;
            atMillis = nowMillis;
        }
    }

    /** Requests that this daemon may send to one upstream, as of a time. */
    private static final class Allowance {
        private double requests;
        private long atMillis;
    }

    private record PeerUsage(RateLimitUsage usage, long receivedAtMillis) {}

    /**
     * Creates the shares of a daemon that has sent nothing yet.
     *
     * @param limits the limits in force
     * @param random source of randomness
     */
    public RateLimitShares(StatedRateLimits limits, RandomGenerator random) {
        this.limits = limits;
        this.random = random;
    }

    /**
     * Records the arrival of a call.
     *
     * @param service the service that it is for
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordArrival(ServiceName service, long nowMillis) {
        arrived.computeIfAbsent(service, name -> new DecayingCount(ARRIVED_DECAY_MILLIS))
                .add(nowMillis);
    }

    /**
     * Records a request that is sent to an upstream, whatever becomes of it.
     *
     * @param target where it is sent
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordSent(Target target, long nowMillis) {
        UpstreamIncarnation upstream = target.upstream().incarnation();
        OptionalDouble limit = limits.limit(upstream);
        if (limit.isEmpty()) {
            return;
        }
        sent.computeIfAbsent(upstream, key -> new DecayingCount(SENT_DECAY_MILLIS))
                .add(nowMillis);
        allowance(target, limit.getAsDouble(), nowMillis).requests -= 1;
    }

    /**
     * Returns the time until this daemon may send a request to an upstream.
     *
     * @param target the upstream
     * @param nowMillis current monotonic time, in milliseconds
     * @return the time in milliseconds, 0 if it may send one now
     */
    public long waitMillis(Target target, long nowMillis) {
        OptionalDouble limit = limits.limit(target.upstream().incarnation());
        if (limit.isEmpty()) {
            return 0;
        }
        Allowance allowance = allowance(target, limit.getAsDouble(), nowMillis);
        double missing = 1 - allowance.requests;
        double ownMillis = missing <= 0 ? 0 : missing / ownPerMilli(target, limit.getAsDouble(), nowMillis);
        return toWait(Math.max(ownMillis, fleetWaitMillis(target, limit.getAsDouble(), nowMillis)));
    }

    /**
     * Returns the time until this daemon may resume a begun response at an upstream. Its own share does not hold it back,
     * because its caller would lose the response; the limit of all daemons does.
     *
     * @param target the upstream
     * @param nowMillis current monotonic time, in milliseconds
     * @return the time in milliseconds, 0 if it may resume one now
     */
    public long resumptionWaitMillis(Target target, long nowMillis) {
        OptionalDouble limit = limits.limit(target.upstream().incarnation());
        return limit.isEmpty() ? 0 : toWait(fleetWaitMillis(target, limit.getAsDouble(), nowMillis));
    }

    private static long toWait(double millis) {
        return (long) Math.ceil(Math.min(MAX_WAIT_MILLIS, millis));
    }

    /** Returns the time until the requests of all daemons have decayed so far that another one keeps the limit. */
    private double fleetWaitMillis(Target target, double perSecond, long nowMillis) {
        double recent = sentByAll(target.upstream().incarnation(), nowMillis);
        double most = maxRecent(USABLE_FRACTION * perSecond);
        return recent <= most ? 0 : SENT_DECAY_MILLIS * Math.log(recent / most);
    }

    /**
     * Returns the decayed count of sent requests up to which another one may be sent. Sending whenever the count has
     * decayed to this value gives exactly the limit.
     */
    private static double maxRecent(double perSecond) {
        double intervalMillis = MILLIS_PER_SECOND / Math.max(MIN_PER_SECOND, perSecond);
        return 1 / Math.expm1(intervalMillis / SENT_DECAY_MILLIS);
    }

    /** Daemons are assumed to go on as they last reported, which makes up for what they have sent since. */
    private double sentByAll(UpstreamIncarnation upstream, long nowMillis) {
        double total = ownSent(upstream, nowMillis);
        for (PeerUsage peer : peers.values()) {
            total += peer.usage().sent().getOrDefault(upstream, 0.0);
        }
        return total;
    }

    private double ownSent(UpstreamIncarnation upstream, long nowMillis) {
        DecayingCount own = sent.get(upstream);
        return own == null ? 0 : own.at(nowMillis);
    }

    private Allowance allowance(Target target, double perSecond, long nowMillis) {
        Allowance allowance = allowances.get(target.upstream().incarnation());
        if (allowance == null) {
            allowance = new Allowance();
            // Daemons that learn of a limit at the same time do not send their first requests at the same time.
            allowance.requests = random.nextDouble();
            allowance.atMillis = nowMillis;
            allowances.put(target.upstream().incarnation(), allowance);
        }
        double perMilli = ownPerMilli(target, perSecond, nowMillis);
        double added = Math.max(0, nowMillis - allowance.atMillis) * perMilli;
        allowance.requests = Math.min(1 + perMilli * MAX_SAVED_MILLIS, allowance.requests + added);
        allowance.atMillis = nowMillis;
        return allowance;
    }

    private double ownPerMilli(Target target, double perSecond, long nowMillis) {
        double share = Math.min(1, share(target.upstream().service(), nowMillis));
        return Math.max(MIN_PER_SECOND, perSecond) * share / MILLIS_PER_SECOND;
    }

    /**
     * Returns the fraction of a limit that this daemon may use by itself: its part of the calls that arrive for the service
     * anywhere. Daemons that do not report are assumed to get as many as the others, because their requests arrive at the
     * upstreams as well, and the headroom shrinks with their number, because their requests are not seen.
     */
    private double share(ServiceName service, long nowMillis) {
        double own = ownArrived(service, nowMillis) + BASE_ARRIVALS;
        double heard = own;
        int daemons = 1;
        for (PeerUsage peer : peers.values()) {
            heard += peer.usage().arrived().getOrDefault(service, 0.0)
                    + BASE_ARRIVALS * peer.usage().daemons();
            daemons += peer.usage().daemons();
        }
        double reporting = Math.min(1, (double) daemons / listedDaemons);
        return own / heard * reporting * SHARE_HEADROOM * reporting;
    }

    /** Leaves out the latest call. Shares are asked for when a call arrives, and would always seem too large with it. */
    private double ownArrived(ServiceName service, long nowMillis) {
        DecayingCount own = arrived.get(service);
        return own == null ? 0 : own.beforeLatestAt(nowMillis);
    }

    /**
     * Sets the number of daemons that may send requests.
     *
     * @param daemons number of daemons in the store's list, with this one
     */
    public void listedDaemons(int daemons) {
        listedDaemons = daemons;
    }

    /**
     * Replaces the previous report of a sender.
     *
     * @param sender a daemon, or a relay that sums up the reports of several daemons
     * @param usage what they have sent and received lately
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void replaceReport(String sender, RateLimitUsage usage, long nowMillis) {
        peers.put(sender, new PeerUsage(usage, nowMillis));
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
     * Returns this daemon's own usage.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return requests sent to upstreams with a limit and calls arrived
     */
    public RateLimitUsage ownUsage(long nowMillis) {
        Map<UpstreamIncarnation, Double> ownSent = new HashMap<>();
        sent.forEach((upstream, count) -> put(ownSent, upstream, count.at(nowMillis)));
        Map<ServiceName, Double> ownArrived = new HashMap<>();
        arrived.forEach((service, count) -> put(ownArrived, service, count.at(nowMillis)));
        return new RateLimitUsage(1, ownSent, ownArrived);
    }

    private static <K> void put(Map<K, Double> counts, K key, double count) {
        if (count >= NEGLIGIBLE) {
            counts.put(key, count);
        }
    }

    /**
     * Returns this daemon's usage together with that of selected senders.
     *
     * @param selected selects the senders to include
     * @param nowMillis current monotonic time, in milliseconds
     * @return the sum
     */
    public RateLimitUsage aggregate(Predicate<String> selected, long nowMillis) {
        RateLimitUsage sum = ownUsage(nowMillis);
        for (Map.Entry<String, PeerUsage> peer : peers.entrySet()) {
            if (selected.test(peer.getKey())) {
                sum = sum.plus(peer.getValue().usage());
            }
        }
        return sum;
    }

    /**
     * Removes expired reports and what belongs to upstreams without a limit.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void expire(long nowMillis) {
        peers.values().removeIf(peer -> nowMillis - peer.receivedAtMillis() > REPORT_TTL_MILLIS);
        allowances.keySet().removeIf(upstream -> limits.limit(upstream).isEmpty());
        sent.entrySet()
                .removeIf(entry -> limits.limit(entry.getKey()).isEmpty()
                        && entry.getValue().at(nowMillis) < NEGLIGIBLE);
        arrived.values().removeIf(count -> count.at(nowMillis) < NEGLIGIBLE);
    }
}
