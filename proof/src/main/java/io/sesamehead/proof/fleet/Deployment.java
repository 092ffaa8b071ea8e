package io.sesamehead.proof.fleet;

import io.sesamehead.state.DaemonId;
import java.util.List;
import java.util.Optional;

/** The daemons of a simulation run that faults can be injected into. */
interface Deployment {
    /** Returns the IDs of all daemons. */
    List<DaemonId> daemonIds();

    /** Returns the current process of a daemon. */
    SimProcess process(DaemonId daemon);

    /** Starts a daemon, or restarts a killed one with a new incarnation at its old address. */
    void start(DaemonId daemon);

    /** Returns the daemon that is selected for faults more often than the others: the lease holder, if there is one. */
    Optional<DaemonId> preferredTarget();

    /** Called when faults start or stop affecting a daemon. */
    void disturbanceChanged(DaemonId daemon, boolean isDisturbed);

    /** Called before the store is restored from an older snapshot. */
    void beforeRestore();
}
