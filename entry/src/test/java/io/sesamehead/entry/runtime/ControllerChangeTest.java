package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against an engine that joins a group while the head of its last one still serves: after a change of the
 * controller, by an entry from an earlier moment, or by an order that is carried out late.
 */
final class ControllerChangeTest {
    private static final int SEEDS = 150;
    private static final int DOMAINS = 2;
    private static final int ENGINES_EACH = 7;
    private static final long MILLIS = 40_000;

    @Test
    void noEngineJoinsWhileTheHeadOfItsLastGroupServes() {
        List<String> violations = new ArrayList<>();
        int joins = 0;
        int serving = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            EngineSimulation engines = new EngineSimulation(seed, DOMAINS, ENGINES_EACH);
            engines.run(MILLIS);
            for (String violation : engines.violations) {
                violations.add("seed " + seed + " at " + violation);
            }
            joins += engines.joins;
            serving += engines.serving();
        }

        assertThat(violations).isEmpty();
        // The rule would also be kept by a controller that never forms a group.
        assertThat(joins).isGreaterThan(SEEDS * ENGINES_EACH * DOMAINS);
        assertThat(serving).isEqualTo(SEEDS * DOMAINS * (ENGINES_EACH / 3));
    }
}
