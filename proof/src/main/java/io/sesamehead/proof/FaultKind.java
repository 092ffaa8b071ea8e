package io.sesamehead.proof;

/** Kinds of faults that a scenario injects and counts. */
public enum FaultKind {
    /** A process is killed and may start again with a new incarnation. */
    KILL,
    /** A process stands still and continues later. */
    FREEZE,
    /** A process stands still for longer than a lease. */
    FREEZE_BEYOND_LEASE,
    /** Messages from one party to another are dropped, in one direction. */
    CUT_ONE_WAY,
    /** Messages between two parties are dropped in both directions. */
    CUT_BOTH_WAYS,
    /** The object API refuses every call. */
    STORE_DOWN,
    /** The object API answers late. */
    STORE_SLOW,
    /** A write took effect and its answer was lost. */
    STORE_ANSWER_LOST,
    /** The object API went back to an older copy. */
    STORE_RESTORED,
    /** A message was delivered late. */
    DELAY,
    /** A message was delivered twice. */
    DUPLICATE,
    /** Two operators changed the configuration at the same time. */
    OPERATOR_RACE,
    /** All VMs of a fabric domain became unreachable. */
    FABRIC_DOMAIN_DOWN,
    /** A clock runs faster or slower than the others. */
    CLOCK_DRIFT,
    /** An upstream was announced to leave. */
    LEAVE,
    /** A connection broke within an answer. */
    TORN_STREAM,
    /** An upstream refused a request before running it. */
    REFUSAL,
    /** A process was asked to stop. */
    STOP_SIGNAL
}
