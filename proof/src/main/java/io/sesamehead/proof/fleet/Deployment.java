package io.sesamehead.proof.fleet;

import io.sesamehead.state.DaemonId;
import java.util.List;
import java.util.Optional;

/** The daemons of a run, as faults reach them. */
interface Deployment {
    /** Returns the names of all daemons. */
    List<DaemonId> daemonIds();

    /** Returns the process that runs under a name. */
    SimProcess process(DaemonId daemon);

    /** Starts a new life of a killed daemon at its old address. */
    void start(DaemonId daemon);

    /** Returns the daemon that faults hit more often than the others: the holder of the lease, if there is one. */
    Optional<DaemonId> preferredTarget();

    /** Tells that a daemon is undisturbed from now on, or that it is disturbed until told otherwise. */
    void disturbanceChanged(DaemonId daemon, boolean isDisturbed);

    /** Called before the store goes back to an older copy. */
    void beforeRestore();
}
