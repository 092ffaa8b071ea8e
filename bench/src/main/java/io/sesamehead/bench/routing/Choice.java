package io.sesamehead.bench.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.routing.RouteRequest;
import io.sesamehead.coordination.routing.Router;
import io.sesamehead.coordination.routing.StragglerDetector;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** One daemon's choice of upstreams. */
interface Choice {
    UpstreamId choose(long prefix, long nowMillis);

    default void finished(UpstreamId upstream, double tokenMillis, long nowMillis) {}

    default void reported(UpstreamId upstream, int inFlight, int queued, long ageMillis, long nowMillis) {}

    /** Creates the choice of one daemon. */
    interface Factory {
        Choice create(ImmutableList<UpstreamId> upstreams, RandomGenerator random);
    }

    /** The real router. */
    final class Routed implements Choice {
        private static final ServiceName SERVICE = new ServiceName("assistant");

        private final ImmutableSet<UpstreamId> upstreams;
        private final StragglerDetector stragglers = new StragglerDetector();
        private final Router router;

        Routed(ImmutableList<UpstreamId> upstreams, RandomGenerator random) {
            this.upstreams = ImmutableSet.copyOf(upstreams);
            this.router = new Router(stragglers, random);
        }

        @Override
        public UpstreamId choose(long prefix, long nowMillis) {
            RouteRequest request = new RouteRequest(SERVICE, upstreams, Router.prefixHash("prefix " + prefix));
            return router.route(request, nowMillis).orElseThrow();
        }

        @Override
        public void finished(UpstreamId upstream, double tokenMillis, long nowMillis) {
            router.finish(upstream, nowMillis);
            stragglers.recordLatency(SERVICE, upstream, tokenMillis, nowMillis);
        }

        @Override
        public void reported(UpstreamId upstream, int inFlight, int queued, long ageMillis, long nowMillis) {
            router.reportLoad(upstream, inFlight, queued, ageMillis, nowMillis);
        }
    }

    /** Baseline: any upstream. */
    record Random(ImmutableList<UpstreamId> upstreams, RandomGenerator random) implements Choice {
        @Override
        public UpstreamId choose(long prefix, long nowMillis) {
            return upstreams.get(random.nextInt(upstreams.size()));
        }
    }

    /** Baseline: one upstream after the other. */
    final class RoundRobin implements Choice {
        private final ImmutableList<UpstreamId> upstreams;
        private int next;

        RoundRobin(ImmutableList<UpstreamId> upstreams, RandomGenerator random) {
            this.upstreams = upstreams;
            this.next = random.nextInt(upstreams.size());
        }

        @Override
        public UpstreamId choose(long prefix, long nowMillis) {
            next = (next + 1) % upstreams.size();
            return upstreams.get(next);
        }
    }

    /** Baseline: the upstream with the least own connections, the earliest of several. */
    final class LeastOwn implements Choice {
        private final ImmutableList<UpstreamId> upstreams;
        private final Map<UpstreamId, Integer> own = new HashMap<>();

        LeastOwn(ImmutableList<UpstreamId> upstreams, RandomGenerator random) {
            this.upstreams = upstreams;
        }

        @Override
        public UpstreamId choose(long prefix, long nowMillis) {
            UpstreamId chosen = upstreams.stream()
                    .min((a, b) -> Integer.compare(own.getOrDefault(a, 0), own.getOrDefault(b, 0)))
                    .orElseThrow();
            own.merge(chosen, 1, Integer::sum);
            return chosen;
        }

        @Override
        public void finished(UpstreamId upstream, double tokenMillis, long nowMillis) {
            own.merge(upstream, -1, Integer::sum);
        }
    }
}
