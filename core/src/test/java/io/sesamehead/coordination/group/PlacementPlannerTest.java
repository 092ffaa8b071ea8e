package io.sesamehead.coordination.group;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against groups that span fabric domains and against placements that strand accelerators. */
final class PlacementPlannerTest {
    private static final FailureDomain DOMAIN = new FailureDomain("cebu");

    @Test
    void doesNotSpanFabricDomains() {
        ImmutableList<Vm> free = ImmutableList.of(vm("a1", "r1", 40), vm("b1", "r2", 40));
        assertThat(planner(0).placeGroup(free, 2, 40)).isEmpty();
    }

    @Test
    void minimizesStrandedAccelerators() {
        ImmutableList<Vm> free = ImmutableList.of(
                vm("a1", "r1", 40), vm("a2", "r1", 40), vm("a3", "r1", 40), vm("b1", "r2", 40), vm("b2", "r2", 40));
        assertThat(chosen(planner(0), free)).containsExactly("b1", "b2");
    }

    @Test
    void prefersSmallestSufficientVms() {
        ImmutableList<Vm> free =
                ImmutableList.of(vm("a1", "r1", 80), vm("a2", "r1", 80), vm("a3", "r1", 40), vm("a4", "r1", 40));
        assertThat(chosen(planner(0), free)).containsExactly("a3", "a4");
    }

    @Test
    void keepsSparesWhenPossible() {
        ImmutableList<Vm> free = ImmutableList.of(
                vm("a1", "r1", 40), vm("a2", "r1", 40), vm("b1", "r2", 40), vm("b2", "r2", 40), vm("b3", "r2", 40));
        assertThat(chosen(planner(1), free)).containsExactly("b1", "b2");
        assertThat(chosen(planner(1), free.subList(0, 2))).containsExactly("a1", "a2");
    }

    @Test
    void avoidsFlappingVms() {
        ImmutableList<Vm> free = ImmutableList.of(vm("a1", "r1", 40), vm("a2", "r1", 40), vm("a3", "r1", 40));
        PlacementPlanner planner = new PlacementPlanner(0, vm -> Map.of("a1", 3).getOrDefault(vm.value(), 0));
        assertThat(chosen(planner, free)).containsExactly("a2", "a3");
    }

    private static PlacementPlanner planner(int spares) {
        return new PlacementPlanner(spares, vm -> 0);
    }

    private static ImmutableList<String> chosen(PlacementPlanner planner, ImmutableList<Vm> free) {
        return planner.placeGroup(free, 2, 40).orElseThrow().stream()
                .map(vm -> vm.id().value())
                .collect(ImmutableList.toImmutableList());
    }

    private static Vm vm(String id, String fabricDomain, int memoryGb) {
        return new Vm(new VmId(id), DOMAIN, new FabricDomain(fabricDomain), 2, memoryGb, id + ":1", false);
    }
}
