package io.sesamehead.proof;

import java.util.Set;

/** A randomised run that checks one invariant. */
public interface Scenario {
    /**
     * Returns the invariant that the run checks.
     *
     * @return the invariant
     */
    Invariant invariant();

    /**
     * Runs once. The same arguments give the same record.
     *
     * @param seed seed of every random choice
     * @param disabled mechanisms that are switched off
     * @return faults, checks and violations of the run
     */
    RunRecord run(long seed, Set<Mechanism> disabled);
}
