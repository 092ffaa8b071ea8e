package io.sesamehead.coordination.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against calls to the wrong service. */
final class CatalogTest {
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
}
