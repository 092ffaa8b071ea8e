package io.sesamehead.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RouterTest {
    private static final ServiceName SERVICE = new ServiceName("assistant");

    private final StragglerDetector stragglers = new StragglerDetector();
    private final Router router = new Router(stragglers, new SplittableRandom(7));

    private static ImmutableSet<UpstreamId> upstreams(int count) {
        return IntStream.range(0, count).mapToObj(i -> new UpstreamId("g-" + i)).collect(ImmutableSet.toImmutableSet());
    }

    private UpstreamId route(ImmutableSet<UpstreamId> candidates, OptionalLong prefix, long now) {
        return router.route(new RouteRequest(SERVICE, candidates, prefix), now).orElseThrow();
    }

    private void observe(UpstreamId upstream, double latency, int samples, long now) {
        for (int i = 0; i < samples; i++) {
            stragglers.recordLatency(SERVICE, upstream, latency, now);
        }
    }

    @Test
    void noCandidateGivesNoRoute() {
        assertThat(router.route(new RouteRequest(SERVICE, ImmutableSet.of(), OptionalLong.of(1)), 0))
                .isEmpty();
    }

    /** Guards against affinity that overloads the upstream of a common prefix. */
    @Test
    void samePrefixStaysTogetherUpToTheLoadBound() {
        ImmutableSet<UpstreamId> candidates = upstreams(10);
        OptionalLong prefix = Router.prefixHash("You are the assistant of the press room.");

        UpstreamId first = route(candidates, prefix, 0);
        router.finish(first, 0);
        assertThat(route(candidates, prefix, 0)).isEqualTo(first);

        Map<UpstreamId, Integer> counts = new HashMap<>(Map.of(first, 1));
        for (int i = 1; i < 100; i++) {
            counts.merge(route(candidates, prefix, 0), 1, Integer::sum);
        }
        assertThat(counts.values()).allMatch(count -> count <= 13);
    }

    /** Guards against a removed upstream moving the prefixes of the others. */
    @Test
    void removingAnUpstreamMovesOnlyItsOwnPrefixes() {
        ImmutableSet<UpstreamId> all = upstreams(8);
        UpstreamId removed = new UpstreamId("g-3");
        ImmutableSet<UpstreamId> rest =
                all.stream().filter(upstream -> !upstream.equals(removed)).collect(ImmutableSet.toImmutableSet());

        for (long prefix = 0; prefix < 200; prefix++) {
            UpstreamId before = route(all, OptionalLong.of(prefix), 0);
            router.finish(before, 0);
            UpstreamId after = route(rest, OptionalLong.of(prefix), 0);
            router.finish(after, 0);
            assertThat(before.equals(removed) || before.equals(after)).isTrue();
        }
    }

    @Test
    void twoChoicesAvoidTheLoadedUpstream() {
        ImmutableSet<UpstreamId> candidates = upstreams(2);
        router.reportLoad(new UpstreamId("g-0"), 80, 20, 0, 0);

        for (int i = 0; i < 20; i++) {
            assertThat(route(candidates, OptionalLong.empty(), 0)).isEqualTo(new UpstreamId("g-1"));
        }
    }

    /** Guards against counting own attempts twice when a report that lags includes them. */
    @Test
    void reportIsCombinedWithOwnAttemptsAtItsTime() {
        UpstreamId upstream = new UpstreamId("g-0");
        ImmutableSet<UpstreamId> only = ImmutableSet.of(upstream);
        route(only, OptionalLong.empty(), 100);
        route(only, OptionalLong.empty(), 900);

        router.reportLoad(upstream, 13, 0, 500, 1_000);
        assertThat(router.load(upstream, 1_000)).isEqualTo(5);
        router.finish(upstream, 1_100);
        assertThat(router.load(upstream, 1_100)).isEqualTo(4);
        assertThat(router.load(upstream, 20_000)).isEqualTo(1);
    }

    /** Guards against an overload of the rest by ejecting too many. */
    @Test
    void atMostAThirdIsEjectedAndTheSlowestFirst() {
        ImmutableSet<UpstreamId> candidates = upstreams(8);
        List<UpstreamId> list = candidates.asList();
        for (int i = 0; i < 8; i++) {
            observe(list.get(i), i < 5 ? 40 : 200 + i, 10, 0);
        }

        assertThat(stragglers.ejected(SERVICE, candidates, 0)).containsExactlyInAnyOrder(list.get(6), list.get(7));
        assertThat(stragglers.ejected(SERVICE, upstreams(7), 0)).hasSizeLessThanOrEqualTo(2);
        for (int i = 0; i < 50; i++) {
            assertThat(route(candidates, OptionalLong.empty(), 0)).isNotIn(list.get(6), list.get(7));
        }
    }

    /** Guards against an ejection that lasts for ever, or that is repeated on the old samples. */
    @Test
    void stragglerReturnsAfterProbationAndIsJudgedAnew() {
        ImmutableSet<UpstreamId> candidates = upstreams(4);
        UpstreamId slow = candidates.asList().get(2);
        candidates.forEach(upstream -> observe(upstream, upstream.equals(slow) ? 300 : 40, 10, 0));

        assertThat(stragglers.ejected(SERVICE, candidates, 0)).containsExactly(slow);
        assertThat(stragglers.ejected(SERVICE, candidates, 9_000)).containsExactly(slow);
        assertThat(stragglers.ejected(SERVICE, candidates, 10_000)).isEmpty();
        observe(slow, 300, 10, 10_500);
        assertThat(stragglers.ejected(SERVICE, candidates, 11_000)).containsExactly(slow);
    }
}
