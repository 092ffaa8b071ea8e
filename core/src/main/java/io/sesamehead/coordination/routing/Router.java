package io.sesamehead.coordination.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream of an attempt. Thread-safe; its lock is a leaf: nothing else is locked or called while it is
 * held.
 */
public final class Router {
    /**
     * An upstream takes calls by affinity up to this multiple of the mean load. Above 1, so that some upstream always
     * qualifies; near 1, so that a common prefix cannot overload its upstream.
     */
    private static final double LOAD_FACTOR = 1.25;

    /** Characters of a prompt that decide its affinity; longer shared beginnings share an upstream all the same. */
    private static final int PREFIX_CHARACTERS = 256;

    private final StragglerDetector stragglers;
    private final RandomGenerator random;
    private final Map<UpstreamId, UpstreamLoad> loads = new HashMap<>();

    /**
     * Creates a router without load knowledge.
     *
     * @param stragglers detector whose ejected upstreams are avoided
     * @param random source of the two choices; used only under the router's lock
     */
    public Router(StragglerDetector stragglers, RandomGenerator random) {
        this.stragglers = stragglers;
        this.random = random;
    }

    /**
     * Hashes the part of a prompt by which calls are sent to the same upstream.
     *
     * @param prompt the prompt
     * @return the hash, or empty for an empty prompt
     */
    public static OptionalLong prefixHash(String prompt) {
        if (prompt.isEmpty()) {
            return OptionalLong.empty();
        }
        String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS));
        return OptionalLong.of(Hashing.murmur3_128().hashUnencodedChars(prefix).asLong());
    }

    /**
     * Chooses an upstream and counts the attempt as in flight on it until {@link #finish}.
     *
     * @param request the attempt
     * @param nowMillis present time, in milliseconds
     * @return the upstream, or empty when there is no candidate
     */
    public Optional<UpstreamId> route(RouteRequest request, long nowMillis) {
        ImmutableSet<UpstreamId> ejected = stragglers.ejected(request.service(), request.candidates(), nowMillis);
        ImmutableList<UpstreamId> usable = request.candidates().stream()
                .filter(candidate -> !ejected.contains(candidate))
                .collect(ImmutableList.toImmutableList());
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        synchronized (this) {
            UpstreamId chosen = request.prefixHash().isPresent()
                    ? byAffinity(usable, request.prefixHash().getAsLong(), nowMillis)
                    : lighterOfTwo(usable, nowMillis);
            loads.computeIfAbsent(chosen, ignored -> new UpstreamLoad()).started(nowMillis);
            return Optional.of(chosen);
        }
    }

    /**
     * Ends the attempt that {@link #route} counted on an upstream.
     *
     * @param upstream the upstream
     * @param nowMillis present time, in milliseconds
     */
    public synchronized void finish(UpstreamId upstream, long nowMillis) {
        UpstreamLoad load = loads.get(upstream);
        if (load != null) {
            load.finished(nowMillis);
        }
    }

    /**
     * Takes a load report of an upstream.
     *
     * @param upstream the upstream
     * @param inFlight requests that it runs, of all daemons
     * @param queued requests that wait in it, of all daemons
     * @param reportAgeMillis age of the figures, in milliseconds
     * @param nowMillis present time, in milliseconds
     */
    public synchronized void reportLoad(
            UpstreamId upstream, int inFlight, int queued, long reportAgeMillis, long nowMillis) {
        loads.computeIfAbsent(upstream, ignored -> new UpstreamLoad())
                .reported((long) inFlight + queued, reportAgeMillis, nowMillis);
    }

    /**
     * Drops what is known about an upstream that no longer exists.
     *
     * @param upstream the upstream
     */
    public synchronized void removeUpstream(UpstreamId upstream) {
        loads.remove(upstream);
    }

    /**
     * Returns the estimated load of an upstream.
     *
     * @param upstream the upstream
     * @param nowMillis present time, in milliseconds
     * @return requests running or waiting on it
     */
    public synchronized long load(UpstreamId upstream, long nowMillis) {
        UpstreamLoad load = loads.get(upstream);
        return load == null ? 0 : load.estimate(nowMillis);
    }

    /** Rendezvous hash with bounded load: the highest score among the upstreams that have room. */
    private UpstreamId byAffinity(ImmutableList<UpstreamId> usable, long prefixHash, long nowMillis) {
        long total =
                usable.stream().mapToLong(upstream -> load(upstream, nowMillis)).sum();
        double room = Math.ceil(LOAD_FACTOR * (total + 1) / usable.size());
        UpstreamId best = null;
        long bestScore = Long.MIN_VALUE;
        for (UpstreamId upstream : usable) {
            long score = score(prefixHash, upstream);
            if (load(upstream, nowMillis) + 1 <= room && (best == null || score > bestScore)) {
                best = upstream;
                bestScore = score;
            }
        }
        return best == null ? lighterOfTwo(usable, nowMillis) : best;
    }

    private UpstreamId lighterOfTwo(ImmutableList<UpstreamId> usable, long nowMillis) {
        UpstreamId first = usable.get(random.nextInt(usable.size()));
        if (usable.size() == 1) {
            return first;
        }
        int other = random.nextInt(usable.size() - 1);
        UpstreamId second = usable.get(other);
        if (second.equals(first)) {
            second = usable.get(usable.size() - 1);
        }
        return load(second, nowMillis) < load(first, nowMillis) ? second : first;
    }

    private static long score(long prefixHash, UpstreamId upstream) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(prefixHash)
                .putUnencodedChars(upstream.value())
                .hash()
                .asLong();
    }
}
