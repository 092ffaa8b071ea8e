package io.sesamehead.coordination.config;

/** Whether callers may be sent to this daemon. */
public sealed interface ReadinessDecision {
    /** Callers may be sent. */
    record Ready() implements ReadinessDecision {}

    /**
     * Callers may not be sent.
     *
     * @param reason why not
     */
    record NotReady(Reason reason) implements ReadinessDecision {}

    /** Why a daemon is not ready. */
    enum Reason {
        /** Neither a peer nor the store answered yet. */
        NO_ANSWER,
        /** A release exists and none is in force here, or an older one in a daemon that is starting. */
        RELEASE_NOT_IN_FORCE,
        /** The daemon is stopping. */
        STOPPING
    }
}
