package io.sesamehead.coordination.routing;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Detects upstreams that are slow compared with their peers and temporarily ejects them, never more than a third of a
 * service. Thread-safe. Its lock is a leaf lock: no other lock is acquired while it is held.
 */
public final class StragglerDetector {
    /** Multiple of its peers' median latency above which the median of an upstream makes it a straggler. */
    private static final double SLOW_FACTOR = 2.0;

    /** Minimum excess over the peers' median, in milliseconds, so that noise in very short latencies ejects nothing. */
    private static final double MIN_EXCESS_MILLIS = 5;

    /** Maximum of one ejected upstream per this many candidates, so that ejection never overloads the rest. */
    private static final int CANDIDATES_PER_EJECTION = 3;

    /** Minimum number of peers with enough samples for a comparison. */
    private static final int MIN_PEERS = 2;

    /** Time for which an upstream stays ejected, in milliseconds. */
    private static final long EJECTION_MILLIS = 10_000;

    /** Minimum interval between evaluations, in milliseconds, so that medians are not computed for each attempt. */
    private static final long EVALUATION_INTERVAL_MILLIS = 250;

    private final Map<ServiceName, Peers> services = new HashMap<>();

    private static final class Peers {
        private final Map<UpstreamId, LatencySamples> samples = new HashMap<>();
        private final Map<UpstreamId, Long> ejectedUntil = new HashMap<>();
        private long lastEvaluationMillis = Long.MIN_VALUE;
    }

    private record Candidate(UpstreamId upstream, double medianMillis) {}

    /**
     * Records the latency of an attempt.
     *
     * @param service the service
     * @param upstream the upstream
     * @param latencyMillis latency that is comparable between attempts, such as the time between tokens, in
     *     milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public synchronized void recordLatency(
            ServiceName service, UpstreamId upstream, double latencyMillis, long nowMillis) {
        Peers peers = services.computeIfAbsent(service, ignored -> new Peers());
        if (!peers.ejectedUntil.containsKey(upstream)) {
            peers.samples
                    .computeIfAbsent(upstream, ignored -> new LatencySamples())
                    .add(latencyMillis, nowMillis);
        }
    }

    /**
     * Returns the ejected upstreams among the candidates.
     *
     * @param service the service
     * @param candidates all upstreams of the service that can run attempts
     * @param nowMillis current monotonic time, in milliseconds
     * @return the ejected upstreams, at most a third of the candidates
     */
    public synchronized ImmutableSet<UpstreamId> ejected(
            ServiceName service, ImmutableSet<UpstreamId> candidates, long nowMillis) {
        Peers peers = services.get(service);
        int limit = candidates.size() / CANDIDATES_PER_EJECTION;
        if (peers == null || limit == 0) {
            return ImmutableSet.of();
        }
        peers.ejectedUntil.values().removeIf(end -> end <= nowMillis);
        if (peers.lastEvaluationMillis == Long.MIN_VALUE
                || nowMillis - peers.lastEvaluationMillis >= EVALUATION_INTERVAL_MILLIS) {
            peers.lastEvaluationMillis = nowMillis;
            eject(peers, candidates, limit, nowMillis);
        }
        return peers.ejectedUntil.entrySet().stream()
                .filter(entry -> candidates.contains(entry.getKey()))
                .sorted(Map.Entry.<UpstreamId, Long>comparingByValue()
                        .reversed()
                        .thenComparing(Map.Entry::getKey))
                .limit(limit)
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Removes the state of an upstream that no longer exists.
     *
     * @param upstream the upstream
     */
    public synchronized void removeUpstream(UpstreamId upstream) {
        for (Peers peers : services.values()) {
            peers.samples.remove(upstream);
            peers.ejectedUntil.remove(upstream);
        }
        services.values().removeIf(peers -> peers.samples.isEmpty() && peers.ejectedUntil.isEmpty());
    }

    /** Ejects stragglers, slowest first. Their samples are discarded, so that new ones decide after the ejection. */
    private static void eject(Peers peers, ImmutableSet<UpstreamId> candidates, int limit, long nowMillis) {
        List<Candidate> measured = measured(peers, candidates, nowMillis);
        measured.sort(Comparator.comparingDouble(Candidate::medianMillis));
        long remaining = limit
                - candidates.stream().filter(peers.ejectedUntil::containsKey).count();
        List<UpstreamId> stragglers = new ArrayList<>();
        for (int rank = measured.size() - 1;
                rank >= 0 && stragglers.size() < remaining && isSlow(measured, rank);
                rank--) {
            stragglers.add(measured.get(rank).upstream());
        }
        for (UpstreamId upstream : stragglers) {
            peers.ejectedUntil.put(upstream, nowMillis + EJECTION_MILLIS);
            peers.samples.remove(upstream);
        }
    }

    private static List<Candidate> measured(Peers peers, ImmutableSet<UpstreamId> candidates, long nowMillis) {
        List<Candidate> measured = new ArrayList<>();
        for (UpstreamId upstream : candidates) {
            LatencySamples samples = peers.samples.get(upstream);
            OptionalDouble median = samples == null ? OptionalDouble.empty() : samples.median(nowMillis);
            if (median.isPresent()) {
                measured.add(new Candidate(upstream, median.getAsDouble()));
            }
        }
        return measured;
    }

    /** Compares the upstream at a rank, counted from the fastest, with the lower median of all the others. */
    private static boolean isSlow(List<Candidate> measured, int rank) {
        if (measured.size() - 1 < MIN_PEERS) {
            return false;
        }
        int middle = (measured.size() - 2) / 2;
        double peerMedian = measured.get(rank <= middle ? middle + 1 : middle).medianMillis();
        double own = measured.get(rank).medianMillis();
        return own > peerMedian * SLOW_FACTOR && own - peerMedian >= MIN_EXCESS_MILLIS;
    }
}
