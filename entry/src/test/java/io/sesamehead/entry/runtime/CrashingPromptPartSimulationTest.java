package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against daemons that keep sending calls with a part that crashes groups, and against refusing the harmless
 * calls that share their other parts, while daemons restart, freeze and are partitioned and racks are lost.
 */
final class CrashingPromptPartSimulationTest {
    /** Maximum number of calls with one crashing part sent by daemons that have had time to learn of it. */
    private static final int MAX_LATE_CALLS = 3;
    /** Fraction of the usual share of harmless calls that must begin at the first attempt. */
    private static final double MIN_SHARE_FRACTION = 0.5;
    /** Number of calls from which on a share counts. */
    private static final int MIN_CALLS = 20;

    private static List<String> violations(int daemons, int seeds, int crashingParts, boolean faults) {
        List<String> violations = new ArrayList<>();
        int refused = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            CrashingPromptPartSimulation simulation =
                    new CrashingPromptPartSimulation(seed, daemons, crashingParts, faults);
            simulation.run();
            for (int late : simulation.lateCalls.values()) {
                if (late > MAX_LATE_CALLS) {
                    violations.add("seed " + seed + ": " + late + " late calls");
                }
            }
            CrashingPromptPartSimulation.Share before = simulation.before;
            CrashingPromptPartSimulation.Share beside = simulation.beside;
            boolean comparable = before.calls >= MIN_CALLS && beside.calls >= MIN_CALLS;
            if (comparable && beside.fraction() < MIN_SHARE_FRACTION * before.fraction()) {
                violations.add("seed " + seed + ": " + beside.begun + " of " + beside.calls + " harmless calls begun, "
                        + before.begun + " of " + before.calls + " before");
            }
            if (!faults && simulation.mostCrashesOfOnePart() > CrashingPromptPartSimulation.CRASH_LIMIT) {
                violations.add("seed " + seed + ": " + simulation.mostCrashesOfOnePart() + " crashes by one part");
            }
            refused += simulation.refusedCalls;
        }
        assertThat(refused).as("calls refused").isGreaterThan(seeds * 10);
        return violations;
    }

    @Test
    void refusesCrashingPartInMesh() {
        assertThat(violations(12, 60, 1, true)).isEmpty();
    }

    @Test
    void refusesTwoCrashingPartsInMesh() {
        assertThat(violations(12, 30, 2, true)).isEmpty();
    }

    @Test
    void refusesCrashingPartsThroughRelays() {
        assertThat(violations(95, 8, 2, true)).isEmpty();
    }

    /** Without faults of the daemons, a part is known before it has crashed more groups than may be lost to it. */
    @Test
    void losesFewGroupsToOnePart() {
        assertThat(violations(12, 60, 1, false)).isEmpty();
    }
}
