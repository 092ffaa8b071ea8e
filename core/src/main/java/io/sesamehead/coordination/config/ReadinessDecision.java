package io.sesamehead.coordination.config;

/** Decision whether the load balancer may send callers to this daemon. */
public sealed interface ReadinessDecision {
    /** Callers may be sent. */
    record Ready() implements ReadinessDecision {}

    /**
     * Callers may not be sent.
     *
     * @param reason reason why the daemon is not ready
     */
    record NotReady(Reason reason) implements ReadinessDecision {}

    /** Reason why a daemon is not ready. */
    enum Reason {
        /** Neither a peer nor the store has answered yet. */
        NO_ANSWER,
        /** A release exists but none is in force here, or the daemon is starting and an older one is in force. */
        RELEASE_NOT_IN_FORCE,
        /** The daemon is stopping. */
        STOPPING
    }
}
