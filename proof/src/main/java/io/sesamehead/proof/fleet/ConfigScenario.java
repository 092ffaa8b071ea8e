package io.sesamehead.proof.fleet;

import io.sesamehead.proof.Invariant;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.proof.RunRecord;
import io.sesamehead.proof.Scenario;
import java.util.Set;

/** Checks that an accepted configuration comes into force at every daemon and never reverts. */
public final class ConfigScenario implements Scenario {
    /** Creates the scenario. */
    public ConfigScenario() {}

    @Override
    public Invariant invariant() {
        return Invariant.CONFIG;
    }

    @Override
    public RunRecord run(long seed, Set<Mechanism> disabled) {
        SimulationContext sim = SimulationContext.create(seed, disabled);
        new ConfigSimulation(sim).run();
        return sim.record();
    }
}
