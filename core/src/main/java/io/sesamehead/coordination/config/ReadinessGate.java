package io.sesamehead.coordination.config;

import io.sesamehead.state.Generation;

/** Decides whether the load balancer may send callers to this daemon. */
public final class ReadinessGate {
    private ReadinessGate() {}

    /**
     * Decides about readiness. A starting daemon waits for the highest generation that was reported to it. A daemon that
     * was ready stays so while a newer one is on its way, because each change reaches all daemons at about the same time.
     *
     * @param answered true once a peer or the store answered since this process started
     * @param highestReported highest generation that any of them reported
     * @param inForce generation in force
     * @param wasReady true once this process was ready
     * @param stopping true once the daemon is stopping
     * @return the decision
     */
    public static ReadinessDecision decide(
            boolean answered, Generation highestReported, Generation inForce, boolean wasReady, boolean stopping) {
        if (stopping) {
            return new ReadinessDecision.NotReady(ReadinessDecision.Reason.STOPPING);
        }
        if (!answered) {
            return new ReadinessDecision.NotReady(ReadinessDecision.Reason.NO_ANSWER);
        }
        boolean behind = inForce.compareTo(highestReported) < 0;
        boolean mayLag = wasReady && !inForce.equals(Generation.NONE);
        if (behind && !mayLag) {
            return new ReadinessDecision.NotReady(ReadinessDecision.Reason.RELEASE_NOT_IN_FORCE);
        }
        return new ReadinessDecision.Ready();
    }
}
