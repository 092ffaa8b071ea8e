package io.sesamehead.proof;

import io.sesamehead.proof.fleet.FleetScenario;
import java.util.List;

/** The scenarios that {@code bin/prove} runs. */
public final class Scenarios {
    private Scenarios() {}

    /**
     * Returns one scenario for each invariant that has one.
     *
     * @return the scenarios in the order of the design
     */
    public static List<Scenario> all() {
        return FleetScenario.all();
    }
}
