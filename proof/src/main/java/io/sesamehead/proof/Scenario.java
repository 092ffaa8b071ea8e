package io.sesamehead.proof;

import java.util.Set;

/** A randomized simulation that checks one invariant. */
public interface Scenario {
    /**
     * Returns the invariant that the scenario checks.
     *
     * @return the invariant
     */
    Invariant invariant();

    /**
     * Runs the simulation once. The run is deterministic: the same arguments produce the same record.
     *
     * @param seed seed of all random choices
     * @param disabled mechanisms to disable
     * @return faults, checks and violations of the run
     */
    RunRecord run(long seed, Set<Mechanism> disabled);
}
