package io.sesamehead.coordination.drain;

/** Shutdown phases of a daemon, in order. */
public enum ShutdownPhase {
    /** No stop was requested. */
    RUNNING,
    /** Readiness is off; the announcement is being sent to the peers. */
    ANNOUNCE,
    /** The controller lease is being released. */
    LEASE_BACK,
    /** Calls in flight are being completed; new ones are refused. */
    FINISH_CALLS,
    /** Open calls are answered with their actual outcome, and the process exits. */
    EXIT
}
