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
 * Chooses the upstream of an attempt by prefix affinity with bounded load, or else by the power of two choices.
 * Thread-safe. Its lock is a leaf lock: no other lock is acquired and no other component called while it is held.
 */
public final class Router {
    /**
     * Maximum load of an upstream that receives calls by affinity, as a multiple of the mean load. Above 1, so that at
     * least one upstream always qualifies; close to 1, so that a common prefix cannot overload its upstream.
     */
    private static final double LOAD_FACTOR = 1.25;

    /** Number of leading characters of a prompt that are hashed; prompts with a longer common prefix also match. */
    private static final int PREFIX_CHARACTERS = 256;

    private final StragglerDetector stragglers;
    private final RandomGenerator random;
    private final Map<UpstreamId, UpstreamLoad> loads = new HashMap<>();

    /**
     * Creates a router without any load information.
     *
     * @param stragglers detector of slow upstreams; upstreams that it ejects are avoided
     * @param random source of randomness, used only while the router's lock is held
     */
    public Router(StragglerDetector stragglers, RandomGenerator random) {
        this.stragglers = stragglers;
        this.random = random;
    }

    /**
     * Hashes the prefix of a prompt, so that calls with a common prefix are sent to the same upstream.
     *
     * @param prompt the prompt
     * @return the hash, or empty if the prompt is empty
     */
    public static OptionalLong prefixHash(String prompt) {
        if (prompt.isEmpty()) {
            return OptionalLong.empty();
        }
        String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARACTERS));
        return OptionalLong.of(Hashing.murmur3_128().hashUnencodedChars(prefix).asLong());
    }

    /**
     * Chooses an upstream and counts the attempt as in flight there until {@link #finish}.
     *
     * @param request the attempt
     * @param nowMillis current monotonic time, in milliseconds
     * @return the upstream, or empty if no candidate is usable
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
                    ? chooseByAffinity(usable, request.prefixHash().getAsLong(), nowMillis)
                    : lessLoadedOfTwo(usable, nowMillis);
            loads.computeIfAbsent(chosen, ignored -> new UpstreamLoad()).recordStart(nowMillis);
            return Optional.of(chosen);
        }
    }

    /**
     * Ends an attempt that {@link #route} counted as in flight on an upstream.
     *
     * @param upstream the upstream
     * @param nowMillis current monotonic time, in milliseconds
     */
    public synchronized void finish(UpstreamId upstream, long nowMillis) {
        UpstreamLoad load = loads.get(upstream);
        if (load != null) {
            load.recordFinish(nowMillis);
        }
    }

    /**
     * Records a load report of an upstream.
     *
     * @param upstream the upstream
     * @param inFlight number of requests that it is running, from all daemons
     * @param queued number of requests in its queue, from all daemons
     * @param reportAgeMillis age of the report, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public synchronized void reportLoad(
            UpstreamId upstream, int inFlight, int queued, long reportAgeMillis, long nowMillis) {
        loads.computeIfAbsent(upstream, ignored -> new UpstreamLoad())
                .recordReport((long) inFlight + queued, reportAgeMillis, nowMillis);
    }

    /**
     * Removes the state of an upstream that no longer exists.
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
     * @param nowMillis current monotonic time, in milliseconds
     * @return estimated number of requests running or queued on the upstream
     */
    public synchronized long load(UpstreamId upstream, long nowMillis) {
        UpstreamLoad load = loads.get(upstream);
        return load == null ? 0 : load.estimate(nowMillis);
    }

    /** Rendezvous hashing with bounded load: chooses the highest score among the upstreams below the load limit. */
    private UpstreamId chooseByAffinity(ImmutableList<UpstreamId> usable, long prefixHash, long nowMillis) {
        long total =
                usable.stream().mapToLong(upstream -> load(upstream, nowMillis)).sum();
        double limit = Math.ceil(LOAD_FACTOR * (total + 1) / usable.size());
        UpstreamId best = null;
        long bestScore = Long.MIN_VALUE;
        for (UpstreamId upstream : usable) {
            long score = score(prefixHash, upstream);
            if (load(upstream, nowMillis) + 1 <= limit && (best == null || score > bestScore)) {
                best = upstream;
                bestScore = score;
            }
        }
        return best == null ? lessLoadedOfTwo(usable, nowMillis) : best;
    }

    private UpstreamId lessLoadedOfTwo(ImmutableList<UpstreamId> usable, long nowMillis) {
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
