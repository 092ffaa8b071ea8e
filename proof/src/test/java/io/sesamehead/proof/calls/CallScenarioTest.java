package io.sesamehead.proof.calls;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.proof.Invariant;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.proof.ProofReport;
import io.sesamehead.proof.RunRecord;
import io.sesamehead.proof.Scenario;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class CallScenarioTest {
    private static final long FIRST_SEED = 1;
    private static final int RUNS = 50;

    static List<Scenario> scenarios() {
        return CallScenario.all();
    }

    /** Guards against a change of core that breaks an invariant, and against faults that are no longer injected. */
    @ParameterizedTest
    @MethodSource("scenarios")
    void invariantHoldsUnderAllFaults(Scenario scenario) {
        ProofReport report = ProofReport.run(scenario, FIRST_SEED, RUNS, Set.of());
        assertThat(report.passed()).as(report.text()).isTrue();
        assertThat(report.faults().keySet()).containsAll(CallScenario.injectedFaults());
    }

    /** Guards against a check that no longer notices when the mechanism is missing. */
    @ParameterizedTest
    @MethodSource("scenarios")
    void detectsViolationsWithoutMechanism(Scenario scenario) {
        Mechanism mechanism = Mechanism.protecting(scenario.invariant());
        ProofReport report = ProofReport.run(scenario, FIRST_SEED, RUNS, Set.of(mechanism));
        assertThat(report.violations()).isNotEmpty();
    }

    /** Guards against hidden state, with which a reported seed could not be run again. */
    @ParameterizedTest
    @MethodSource("scenarios")
    void sameSeedReproducesRun(Scenario scenario) {
        Mechanism mechanism = Mechanism.protecting(scenario.invariant());
        for (long seed = FIRST_SEED; seed < FIRST_SEED + 5; seed++) {
            RunRecord first = scenario.run(seed, Set.of(mechanism));
            RunRecord second = scenario.run(seed, Set.of(mechanism));
            assertThat(second.violations()).isEqualTo(first.violations());
            assertThat(second.faults()).isEqualTo(first.faults());
            assertThat(second.checks()).isEqualTo(first.checks());
        }
    }

    /** Guards against runs that never reach the situations that the invariants are about. */
    @Test
    void runsReachCriticalStates() {
        int stopsWithAllOpen = 0;
        int uninterruptedExits = 0;
        long rejectedFrames = 0;
        long resumedStreams = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
            CallSimulation world = new CallSimulation(seed, Invariant.GRACEFUL_STOP, Set.of());
            world.run();
            stopsWithAllOpen += world.checker().stopsWithAllInFlight();
            uninterruptedExits += world.checker().uninterruptedExits();
            resumedStreams += world.checker().completeResumedStreams();
            rejectedFrames += world.daemons().stream()
                    .mapToLong(daemon -> daemon.tables().attempts.rejectedFrames())
                    .sum();
        }
        assertThat(stopsWithAllOpen).isPositive();
        assertThat(uninterruptedExits).isPositive();
        assertThat(rejectedFrames).isPositive();
        assertThat(resumedStreams).isPositive();
    }
}
