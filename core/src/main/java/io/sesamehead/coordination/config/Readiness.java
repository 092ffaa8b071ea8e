package io.sesamehead.coordination.config;

import io.sesamehead.state.Generation;

/** Decides whether the load balancer may send callers to this daemon. */
public final class Readiness {
    private Readiness() {}

    /**
     * Decides about readiness.
     *
     * @param answered true once a peer or the store answered since this process started
     * @param highestReported highest generation that any of them reported
     * @param inForce generation in force
     * @param stopping true once the daemon is stopping
     * @return the decision
     */
    public static ReadinessDecision decide(
            boolean answered, Generation highestReported, Generation inForce, boolean stopping) {
        if (stopping) {
            return new ReadinessDecision.NotReady(ReadinessDecision.Reason.STOPPING);
        }
        if (!answered) {
            return new ReadinessDecision.NotReady(ReadinessDecision.Reason.NO_ANSWER);
        }
        boolean releaseMissing = inForce.equals(Generation.NONE) && highestReported.compareTo(Generation.NONE) > 0;
        if (releaseMissing) {
            return new ReadinessDecision.NotReady(ReadinessDecision.Reason.RELEASE_NOT_IN_FORCE);
        }
        return new ReadinessDecision.Ready();
    }
}
