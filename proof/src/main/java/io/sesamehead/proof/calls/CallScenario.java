package io.sesamehead.proof.calls;

import io.sesamehead.proof.FaultKind;
import io.sesamehead.proof.Invariant;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.proof.RunRecord;
import io.sesamehead.proof.Scenario;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** Checks one invariant about calls on random traffic under random faults. */
public final class CallScenario implements Scenario {
    private static final Set<FaultKind> FAULTS = EnumSet.of(
            FaultKind.KILL,
            FaultKind.FREEZE,
            FaultKind.FREEZE_BEYOND_LEASE,
            FaultKind.CUT_ONE_WAY,
            FaultKind.CUT_BOTH_WAYS,
            FaultKind.STORE_DOWN,
            FaultKind.STORE_SLOW,
            FaultKind.STORE_ANSWER_LOST,
            FaultKind.DELAY,
            FaultKind.DUPLICATE,
            FaultKind.CLOCK_DRIFT,
            FaultKind.TORN_STREAM,
            FaultKind.REFUSAL,
            FaultKind.STOP_SIGNAL);

    private final Invariant invariant;

    private CallScenario(Invariant invariant) {
        this.invariant = invariant;
    }

    /**
     * Returns the scenarios of this package.
     *
     * @return one scenario for each invariant about calls, in the order of the design
     */
    public static List<Scenario> all() {
        return List.of(
                new CallScenario(Invariant.OWN_ANSWER),
                new CallScenario(Invariant.NOT_RUN),
                new CallScenario(Invariant.AT_MOST_ONCE),
                new CallScenario(Invariant.GRACEFUL_STOP));
    }

    /**
     * Returns the kinds of faults that the scenarios inject.
     *
     * @return the kinds
     */
    public static Set<FaultKind> injectedFaults() {
        return EnumSet.copyOf(FAULTS);
    }

    @Override
    public Invariant invariant() {
        return invariant;
    }

    @Override
    public RunRecord run(long seed, Set<Mechanism> disabled) {
        return new CallSimulation(seed, invariant, disabled).run();
    }
}
