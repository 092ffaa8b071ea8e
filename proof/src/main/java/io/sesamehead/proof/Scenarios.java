package io.sesamehead.proof;

import io.sesamehead.proof.calls.CallScenario;
import io.sesamehead.proof.fleet.FleetScenario;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The scenarios that {@code bin/prove} runs. */
public final class Scenarios {
    private Scenarios() {}

    /**
     * Returns one scenario for each invariant that has one.
     *
     * @return the scenarios in the order of {@link Invariant}
     */
    public static List<Scenario> all() {
        return Stream.concat(FleetScenario.all().stream(), CallScenario.all().stream())
                .sorted(Comparator.comparing(Scenario::invariant))
                .toList();
    }
}
