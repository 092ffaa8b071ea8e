package io.sesamehead.proof.fleet;

import io.sesamehead.proof.Invariant;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.proof.RunRecord;
import io.sesamehead.proof.Scenario;
import java.util.Set;

/** Checks that every daemon converges to the accepted configuration and never reverts to an older one. */
public final class ConfigScenario implements Scenario {
    /** Creates the scenario. */
    public ConfigScenario() {}

    @Override
    public Invariant invariant() {
        return Invariant.CONFIG;
    }

    @Override
    public RunRecord run(long seed, Set<Mechanism> disabled) {
        SimulationContext context = SimulationContext.create(seed, disabled);
        new ConfigSimulation(context).run();
        return context.record();
    }
}
