package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against daemons that go on refusing a request whose answers were lost, because they saw no progress at its
 * targets themselves and reports of those that did were lost, late or did not pass the relays.
 */
final class LostAnswerSimulationTest {
    private static List<String> violations(int daemons, long firstSeed, long lastSeed) {
        List<String> violations = new ArrayList<>();
        int earlyRefusals = 0;
        for (long seed = firstSeed; seed <= lastSeed; seed++) {
            LostAnswerSimulation simulation = new LostAnswerSimulation(seed, daemons);
            simulation.run();
            if (simulation.lateRefusals > 0) {
                violations.add("seed " + seed + ": " + simulation.lateRefusals + " late refusals");
            }
            earlyRefusals += simulation.earlyRefusals;
        }
        assertThat(earlyRefusals).as("refusals before the proof").isGreaterThan((int) (lastSeed - firstSeed));
        return violations;
    }

    @Test
    void servesRequestsWithLostAnswersAgainInMesh() {
        assertThat(violations(12, 1, 60)).isEmpty();
    }

    @Test
    void servesRequestsWithLostAnswersAgainThroughRelays() {
        assertThat(violations(95, 1, 8)).isEmpty();
    }

    /** A seed in which reports from the queue of a paused daemon bring crashes back, more than three seconds too young. */
    @Test
    void servesRequestsAgainWhenPausedRelaysGoOn() {
        assertThat(violations(95, 24, 24)).isEmpty();
    }
}
