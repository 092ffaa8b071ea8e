package io.sesamehead.coordination.catalog;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class RetryServicesTest {
    private static final ServiceName OLD = new ServiceName("old");
    private static final ServiceName NEW = new ServiceName("new");
    private static final ServiceName HEAVY = new ServiceName("heavy");
    private static final Route ADMITTED_BY = route(CallKind.SAFE, new Backend(OLD, 1));

    private static Route route(CallKind kind, Backend... backends) {
        return new Route("r", "h", "/", kind, 1_000, 100, 5, List.of(backends), 2, false, true);
    }

    private static List<ServiceName> inOrder(Route inForce, boolean responseBegun) {
        return RetryServices.inOrder(OLD, ADMITTED_BY, Optional.of(inForce), responseBegun);
    }

    @Test
    void serviceThatIsStillNamedIsKept() {
        assertThat(inOrder(route(CallKind.SAFE, new Backend(NEW, 9), new Backend(OLD, 1)), false))
                .containsExactly(OLD);
    }

    @Test
    void movedRouteComesBeforeFormerService() {
        Route moved = route(CallKind.SAFE, new Backend(NEW, 1), new Backend(HEAVY, 3), new Backend(OLD, 0));

        assertThat(inOrder(moved, false)).containsExactly(HEAVY, NEW, OLD);
        assertThat(inOrder(moved, true)).containsExactly(OLD, HEAVY, NEW);
    }

    @Test
    void removedRouteLeavesServiceOfAdmission() {
        assertThat(RetryServices.inOrder(OLD, ADMITTED_BY, Optional.empty(), false))
                .containsExactly(OLD);
    }

    @Test
    void routeOfOtherKindAllowsNoOtherService() {
        assertThat(Stream.of(CallKind.UNSAFE, CallKind.STREAM)
                        .map(kind -> inOrder(route(kind, new Backend(NEW, 1)), false)))
                .containsOnly(List.of(OLD));
    }
}
