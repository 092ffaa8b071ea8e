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
    private static final int MOST_LATE_RETRIES = 3;
    /** Share of proper calls that may be turned away, one in so many. */
    private static final int REFUSED_SHARE = 500;

    private static List<String> violations(int daemons, int seeds, boolean tellAgain) {
        List<String> violations = new ArrayList<>();
        int refused = 0;
        int tries = 0;
        int innocentRefused = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            CrashingRequestSimulation fleet = new CrashingRequestSimulation(seed, daemons, tellAgain);
            fleet.run();
            if (fleet.lateRetries > MOST_LATE_RETRIES) {
                violations.add("seed " + seed + ": " + fleet.lateRetries + " late retries");
            }
            refused += fleet.refusedRetries;
            tries += fleet.innocentTries;
            innocentRefused += fleet.innocentRefused;
        }
        if (innocentRefused > tries / REFUSED_SHARE) {
            violations.add(innocentRefused + " of " + tries + " innocent tries refused");
        }
        assertThat(refused).as("retries that were refused").isGreaterThan(seeds * 10);
        assertThat(tries).isGreaterThan(seeds * 1_000);
        return violations;
    }

    @Test
    void fewDaemonsStopTheRequest() {
        assertThat(violations(12, 60, true)).isEmpty();
    }

    @Test
    void manyDaemonsStopTheRequestThroughRelays() {
        assertThat(violations(95, 8, true)).isEmpty();
    }

    @Test
    void checksFindCrashesThatAreToldOnlyOnce() {
        assertThat(violations(12, 20, false)).isNotEmpty();
        assertThat(violations(95, 4, false)).isNotEmpty();
    }
}
