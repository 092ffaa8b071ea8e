package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against daemons that send a request on after it has ended three engines, because a report was lost or late, or
 * because they started, froze or were cut off; and against refusals of innocent requests that met crashes.
 */
final class CrashingRequestSimulationTest {
    /** Retries that may reach an engine once all daemons have had time to know. */
    private static final int MAX_LATE_RETRIES = 3;
    /** Share of proper calls that may be turned away, one in so many. */
    private static final int ATTEMPTS_PER_ALLOWED_REFUSAL = 500;

    private static List<String> violations(int daemons, int seeds, boolean repeatReports) {
        List<String> violations = new ArrayList<>();
        int refused = 0;
        int attempts = 0;
        int harmlessRefused = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            CrashingRequestSimulation simulation = new CrashingRequestSimulation(seed, daemons, repeatReports);
            simulation.run();
            if (simulation.lateRetries > MAX_LATE_RETRIES) {
                violations.add("seed " + seed + ": " + simulation.lateRetries + " late retries");
            }
            refused += simulation.refusedRetries;
            attempts += simulation.harmlessAttempts;
            harmlessRefused += simulation.harmlessRefused;
        }
        if (harmlessRefused > attempts / ATTEMPTS_PER_ALLOWED_REFUSAL) {
            violations.add(harmlessRefused + " of " + attempts + " innocent tries refused");
        }
        assertThat(refused).as("retries that were refused").isGreaterThan(seeds * 10);
        assertThat(attempts).isGreaterThan(seeds * 1_000);
        return violations;
    }

    @Test
    void stopsCrashingRequestInMesh() {
        assertThat(violations(12, 60, true)).isEmpty();
    }

    @Test
    void stopsCrashingRequestThroughRelays() {
        assertThat(violations(95, 8, true)).isEmpty();
    }

    @Test
    void detectsCrashesReportedOnlyOnce() {
        assertThat(violations(12, 20, false)).isNotEmpty();
        assertThat(violations(95, 4, false)).isNotEmpty();
    }
}
