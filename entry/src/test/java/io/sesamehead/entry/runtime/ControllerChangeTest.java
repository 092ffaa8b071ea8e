package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an engine that joins a group while the head of its previous group still serves. This can come about
 * through a controller change, a stale registry entry or an order that is executed late.
 */
final class ControllerChangeTest {
    private static final int SEEDS = 150;
    private static final int DOMAINS = 2;
    private static final int ENGINES_PER_DOMAIN = 7;
    private static final long DURATION_MILLIS = 40_000;

    @ParameterizedTest
    @CsvSource({"8, 1000000", "8, 6"})
    void noJoinWhileFormerHeadServes(int noAnswerOneIn, int otherAnswerOneIn) {
        check(new EngineSimulation.OrderFaults(noAnswerOneIn, otherAnswerOneIn));
    }

    /** Guards against the same while a third of the orders get no answer and half of these are executed late. */
    @Test
    void noJoinWhileFormerHeadServesWithManyLateOrders() {
        check(new EngineSimulation.OrderFaults(3, 6));
    }

    private static void check(EngineSimulation.OrderFaults orderFaults) {
        List<String> violations = new ArrayList<>();
        int joins = 0;
        int serving = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            EngineSimulation simulation = new EngineSimulation(seed, DOMAINS, ENGINES_PER_DOMAIN, orderFaults);
            simulation.run(DURATION_MILLIS);
            for (String violation : simulation.violations) {
                violations.add("seed " + seed + " at " + violation);
            }
            joins += simulation.joins;
            serving += simulation.serving();
        }

        assertThat(violations).isEmpty();
        // A controller that never forms a group would not violate the rule either.
        assertThat(joins).isGreaterThan(SEEDS * ENGINES_PER_DOMAIN * DOMAINS);
        assertThat(serving).isEqualTo(SEEDS * DOMAINS * (ENGINES_PER_DOMAIN / 3));
    }
}
