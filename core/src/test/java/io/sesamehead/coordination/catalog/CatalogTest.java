package io.sesamehead.coordination.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against calls to the wrong service and against configurations and keys that outlive their time. */
final class CatalogTest {
    private static final long LEASE_MILLIS = 3_600;

    private static Route route(String name, String prefix) {
        List<Backend> backends = List.of(new Backend(new ServiceName("desk"), 1));
        return new Route(name, "a.example", prefix, CallKind.SAFE, 1_500, 300, 1, backends, 2, false, false);
    }

    private static ServingConfig config(long version, Route... routes) {
        return new ServingConfig(version, List.of(routes), Map.of(), CallLimits.DEFAULT, true, Map.of());
    }

    @Test
    void longestPrefixWins() {
        RouteTable table = new RouteTable(config(1, route("short", "/a/"), route("long", "/a/b/")));

        assertThat(table.find("A.example:80", "/a/b/c?x=/y/").orElseThrow().name())
                .isEqualTo("long");
        assertThat(table.find("a.example", "/a/bc").orElseThrow().name()).isEqualTo("short");
    }

    @Test
    void matchesHostAndWholePathSegmentsOnly() {
        RouteTable table = new RouteTable(config(1, route("short", "/a/")));

        assertThat(table.find("b.example", "/a/x")).isEmpty();
        assertThat(table.find("a.example", "/ab")).isEmpty();
        assertThat(table.find("a.example", "*")).isEmpty();
    }

    @Test
    void ignoresOlderConfiguration() {
        ActiveConfig gate = new ActiveConfig(LEASE_MILLIS);
        gate.offer(config(7, route("new", "/a/")), 100);

        assertThat(gate.offer(config(5, route("old", "/a/")), 200)).isFalse();
        assertThat(gate.table().orElseThrow().config().version()).isEqualTo(7);
        assertThat(gate.ageMillis(200)).isEqualTo(100);
    }

    @Test
    void keysExpireUntilStoreAnswersAgain() {
        ActiveConfig gate = new ActiveConfig(LEASE_MILLIS);
        gate.offer(config(7), 1_000);

        assertThat(gate.fresh(1_000 + LEASE_MILLIS)).isTrue();
        assertThat(gate.fresh(1_001 + LEASE_MILLIS)).isFalse();
        gate.confirm(9_000);
        assertThat(gate.fresh(9_001)).isTrue();
    }

    @Test
    void requestSentBeforeSuspensionDoesNotRenewLease() {
        ActiveConfig gate = new ActiveConfig(LEASE_MILLIS);
        gate.offer(config(7), 1_000);
        long afterSuspension = 20_000;

        gate.confirm(1_500);

        assertThat(gate.fresh(afterSuspension)).isFalse();
    }

    @Test
    void isNeverFreshWithoutConfiguration() {
        ActiveConfig gate = new ActiveConfig(LEASE_MILLIS);
        gate.confirm(10);

        assertThat(gate.fresh(11)).isFalse();
    }
}
