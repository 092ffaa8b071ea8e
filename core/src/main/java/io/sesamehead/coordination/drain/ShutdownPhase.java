package io.sesamehead.coordination.drain;

/** Phases of a daemon, in order. */
public enum ShutdownPhase {
    /** No stop was asked for. */
    RUNNING,
    /** Readiness is off; the announcement is being sent to the peers. */
    ANNOUNCE,
    /** The controller lease is being given back. */
    LEASE_BACK,
    /** Calls in flight are being finished; new ones are refused. */
    FINISH_CALLS,
    /** Open calls get their true outcome, and the process exits. */
    EXIT
}
