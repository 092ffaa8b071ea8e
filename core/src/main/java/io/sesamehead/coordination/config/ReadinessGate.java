package io.sesamehead.coordination.config;

import io.sesamehead.state.Generation;

/** Decides whether the load balancer may send callers to this daemon. */
public final class ReadinessGate {
    private ReadinessGate() {}

    /**
     * Decides whether this daemon is ready. A starting daemon is not ready until the highest reported generation is in
     * force. A daemon that was ready stays ready while it fetches a newer one, because each change reaches all daemons
     * at about the same time.
     *
     * @param answered whether a peer or the store has answered since this process started
     * @param highestReported highest generation reported by any of them
     * @param inForce generation in force
     * @param wasReady whether this process has been ready before
     * @param stopping whether the daemon is stopping
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
