package io.sesamehead.proof;

/** Kinds of faults that a scenario injects and counts. */
public enum FaultKind {
    /** A process is killed and may restart with a new incarnation. */
    KILL,
    /** A process is paused and resumes later. */
    FREEZE,
    /** A process is paused for longer than the lease time to live. */
    FREEZE_BEYOND_LEASE,
    /** Messages from one endpoint to another are dropped in one direction only. */
    CUT_ONE_WAY,
    /** Messages between two endpoints are dropped in both directions. */
    CUT_BOTH_WAYS,
    /** The object API refuses every call. */
    STORE_DOWN,
    /** The object API responds late. */
    STORE_SLOW,
    /** A write took effect, but its response was lost. */
    STORE_ANSWER_LOST,
    /** The object API was restored from an older snapshot. */
    STORE_RESTORED,
    /** A message was delivered late. */
    DELAY,
    /** A message was delivered twice. */
    DUPLICATE,
    /** Two operators changed the configuration concurrently. */
    OPERATOR_RACE,
    /** All VMs of a fabric domain became unreachable. */
    FABRIC_DOMAIN_DOWN,
    /** A clock runs at a different rate than the others. */
    CLOCK_DRIFT,
    /** An upstream was announced as leaving. */
    LEAVE,
    /** A connection broke in the middle of a response. */
    TORN_STREAM,
    /** An upstream refused a request before running it. */
    REFUSAL,
    /** A process received a stop signal. */
    STOP_SIGNAL
}
