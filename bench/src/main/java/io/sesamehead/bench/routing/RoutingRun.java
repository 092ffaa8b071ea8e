package io.sesamehead.bench.routing;

import com.google.common.collect.ImmutableList;
import io.sesamehead.bench.VirtualTime;
import io.sesamehead.coordination.routing.UpstreamId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

/** Completions with shared prefixes on groups with batch slots and prefix caches, in virtual time. */
final class RoutingRun {
    private static final int UPSTREAMS = 12;
    private static final int DAEMONS = 4;
    private static final int SLOTS = 8;
    private static final int CACHED_PREFIXES = 16;
    private static final int PREFIXES = 100;
    private static final int TOKENS = 100;
    private static final double TOKEN_MILLIS = 20;
    private static final double HIT_MILLIS = 50;
    private static final double MISS_MILLIS = 400;
    private static final double SLOW_FACTOR = 3;
    private static final double CALLS_PER_SECOND = 27;
    private static final long REPORT_MILLIS = 1_000;
    private static final long SLOW_FROM_MILLIS = 60_000;
    private static final long RUN_MILLIS = 300_000;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final boolean straggler;
    private final List<Choice> daemons;
    private final Map<UpstreamId, Engine> engines = new LinkedHashMap<>();
    private final List<Double> firstTokens = new ArrayList<>();
    private long hits;
    private int nextDaemon;

    private record Call(Choice daemon, UpstreamId upstream, int prefix, long arrivedMillis) {}

    private static final class Engine {
        private final ArrayDeque<Call> queue = new ArrayDeque<>();
        private final LinkedHashMap<Integer, Boolean> cache = new LinkedHashMap<>(CACHED_PREFIXES, 0.75f, true);
        private int running;
    }

    private RoutingRun(Choice.Factory factory, long seed, boolean straggler) {
        this.random = new Random(seed);
        this.straggler = straggler;
        ImmutableList<UpstreamId> ids = IntStream.range(0, UPSTREAMS)
                .mapToObj(i -> new UpstreamId("assistant-" + i))
                .collect(ImmutableList.toImmutableList());
        ids.forEach(id -> engines.put(id, new Engine()));
        daemons = IntStream.range(0, DAEMONS)
                .mapToObj(i -> factory.create(ids, new Random(seed + i)))
                .toList();
    }

    static Figures measure(Choice.Factory factory, long seed, boolean straggler) {
        RoutingRun run = new RoutingRun(factory, seed, straggler);
        run.time.every(REPORT_MILLIS, run::report);
        run.arrive();
        run.time.runUntil(RUN_MILLIS);
        Collections.sort(run.firstTokens);
        int calls = run.firstTokens.size();
        return new Figures(run.firstTokens.get((int) (calls * 0.95)), (double) run.hits / calls);
    }

    /**
     * Figures of one run.
     *
     * @param firstTokenMillis 95th percentile of the time to the first token, in milliseconds
     * @param hitRatio share of calls whose prefix was cached
     */
    record Figures(double firstTokenMillis, double hitRatio) {}

    private void arrive() {
        Choice daemon = daemons.get(nextDaemon);
        nextDaemon = (nextDaemon + 1) % DAEMONS;
        int prefix = (int) (Math.pow(PREFIXES + 1, random.nextDouble()) - 1);
        UpstreamId upstream = daemon.choose(prefix, time.nowMillis());
        Engine engine = engines.get(upstream);
        engine.queue.add(new Call(daemon, upstream, prefix, time.nowMillis()));
        start(engine);
        time.after(Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / CALLS_PER_SECOND), this::arrive);
    }

    private void start(Engine engine) {
        if (engine.running >= SLOTS || engine.queue.isEmpty()) {
            return;
        }
        Call call = engine.queue.removeFirst();
        engine.running++;
        boolean slow = straggler && call.upstream().value().endsWith("-0") && time.nowMillis() >= SLOW_FROM_MILLIS;
        double factor = slow ? SLOW_FACTOR : 1;
        boolean hit = engine.cache.put(call.prefix(), true) != null;
        if (engine.cache.size() > CACHED_PREFIXES) {
            engine.cache.remove(engine.cache.keySet().iterator().next());
        }
        double prefill = factor * (hit ? HIT_MILLIS : MISS_MILLIS);
        firstTokens.add(time.nowMillis() - call.arrivedMillis() + prefill);
        hits += hit ? 1 : 0;
        time.after(Math.round(prefill + factor * TOKENS * TOKEN_MILLIS), () -> {
            engine.running--;
            call.daemon().finished(call.upstream(), factor * TOKEN_MILLIS, time.nowMillis());
            start(engine);
        });
    }

    /** Reports arrive one interval after they were made. */
    private void report() {
        engines.forEach((id, engine) -> {
            int inFlight = engine.running;
            int queued = engine.queue.size();
            time.after(
                    REPORT_MILLIS,
                    () -> daemons.forEach(
                            daemon -> daemon.reported(id, inFlight, queued, REPORT_MILLIS, time.nowMillis())));
        });
    }
}
