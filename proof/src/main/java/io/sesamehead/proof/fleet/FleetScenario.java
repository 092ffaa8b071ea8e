package io.sesamehead.proof.fleet;

import io.sesamehead.proof.Invariant;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.proof.RunRecord;
import io.sesamehead.proof.Scenario;
import java.util.List;
import java.util.Set;

/** Checks one invariant of a failure domain whose daemons form, repair and use groups while everything fails. */
public final class FleetScenario implements Scenario {
    private final Invariant invariant;

    private FleetScenario(Invariant invariant) {
        this.invariant = invariant;
    }

    /**
     * Returns the scenarios of this package.
     *
     * @return one scenario for each invariant of groups, leaving upstreams and the configuration
     */
    public static List<Scenario> all() {
        return List.of(
                new FleetScenario(Invariant.WHOLE_GROUP),
                new FleetScenario(Invariant.ONE_GROUP),
                new FleetScenario(Invariant.LEAVING),
                new ConfigScenario());
    }

    @Override
    public Invariant invariant() {
        return invariant;
    }

    @Override
    public RunRecord run(long seed, Set<Mechanism> disabled) {
        SimulationContext sim = SimulationContext.create(seed, disabled);
        new FleetSimulation(sim, invariant).run();
        return sim.record();
    }
}
