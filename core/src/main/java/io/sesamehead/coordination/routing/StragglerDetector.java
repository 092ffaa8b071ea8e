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
 * Finds upstreams that are slow compared with their peers and ejects them for a probation time, never more than a third
 * of a service. Thread-safe; its lock is a leaf.
 */
public final class StragglerDetector {
    /** An upstream is a straggler when its median latency exceeds this multiple of its peers' median. */
    private static final double SLOW_FACTOR = 2.0;

    /** Least excess over the peers, so that noise among very short latencies ejects nothing, in milliseconds. */
    private static final double MIN_EXCESS_MILLIS = 5;

    /** At most one of this many upstreams is ejected, so that ejection never overloads the rest. */
    private static final int EJECT_ONE_OF = 3;

    /** Peers with enough samples that a comparison needs. */
    private static final int MIN_PEERS = 2;

    /** Time for which an upstream stays ejected, in milliseconds. */
    private static final long PROBATION_MILLIS = 10_000;

    /** Medians are computed at most this often, in milliseconds, and not for each attempt. */
    private static final long EVALUATE_INTERVAL_MILLIS = 250;

    private final Map<ServiceName, Peers> services = new HashMap<>();

    private static final class Peers {
        private final Map<UpstreamId, LatencySamples> samples = new HashMap<>();
        private final Map<UpstreamId, Long> ejectedUntil = new HashMap<>();
        private long evaluatedMillis = Long.MIN_VALUE;
    }

    private record Candidate(UpstreamId upstream, double medianMillis) {}

    /**
     * Records the latency of an attempt.
     *
     * @param service the service
     * @param upstream the upstream
     * @param latencyMillis a latency that is comparable between attempts, such as the time between tokens, in
     *     milliseconds
     * @param nowMillis present time, in milliseconds
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
     * @param candidates all upstreams of the service that may run attempts
     * @param nowMillis present time, in milliseconds
     * @return at most a third of the candidates
     */
    public synchronized ImmutableSet<UpstreamId> ejected(
            ServiceName service, ImmutableSet<UpstreamId> candidates, long nowMillis) {
        Peers peers = services.get(service);
        int limit = candidates.size() / EJECT_ONE_OF;
        if (peers == null || limit == 0) {
            return ImmutableSet.of();
        }
        peers.ejectedUntil.values().removeIf(end -> end <= nowMillis);
        if (peers.evaluatedMillis == Long.MIN_VALUE || nowMillis - peers.evaluatedMillis >= EVALUATE_INTERVAL_MILLIS) {
            peers.evaluatedMillis = nowMillis;
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
     * Drops what is known about an upstream that no longer exists.
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

    /** Ejects the slowest stragglers first. Their samples are dropped: after probation they are judged anew. */
    private static void eject(Peers peers, ImmutableSet<UpstreamId> candidates, int limit, long nowMillis) {
        List<Candidate> measured = measured(peers, candidates, nowMillis);
        measured.sort(Comparator.comparingDouble(Candidate::medianMillis));
        long room = limit
                - candidates.stream().filter(peers.ejectedUntil::containsKey).count();
        List<UpstreamId> slow = new ArrayList<>();
        for (int rank = measured.size() - 1; rank >= 0 && slow.size() < room && isSlow(measured, rank); rank--) {
            slow.add(measured.get(rank).upstream());
        }
        for (UpstreamId upstream : slow) {
            peers.ejectedUntil.put(upstream, nowMillis + PROBATION_MILLIS);
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

    /** Compares the upstream at a rank, from the fastest, with the lower median of all the others. */
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
