package io.sesamehead.coordination.dispatch;

/** Evidence that a target may have failed. {@link EvidencePolicy} decides what follows from it. */
public sealed interface TargetEvidence {
    /**
     * The target has sent nothing while calls were in flight there. A sound target may be silent for a while and go on.
     *
     * @param ownMillis time without progress of this daemon's calls, in milliseconds, 0 if it has none in flight
     * @param anywhereMillis time without progress at any daemon while calls were in flight, in milliseconds
     * @param limits limits of the silence at this target
     */
    record Silence(long ownMillis, long anywhereMillis, SilenceLimits limits) implements TargetEvidence {
        /**
         * Returns whether this daemon's calls are silent while those of others make progress.
         *
         * @return true if the path to the target may be lost
         */
        public boolean onlyHere() {
            return ownMillis > limits.ownMillis() && anywhereMillis <= limits.anywhereMillis();
        }
    }

    /** An attempt ended without a valid and complete response, for example because its connection closed. */
    record AttemptFailed() implements TargetEvidence {}

    /** An attempt ended with bytes that are no valid response. The target goes on. */
    record FaultyResponse() implements TargetEvidence {}

    /** A connection could not be opened, perhaps because the target is silent or its network loses packets. */
    record ConnectFailed() implements TargetEvidence {}

    /** A connection was refused: no process listens at the target's address. */
    record ConnectionRefused() implements TargetEvidence {}

    /** An upstream of the target has left the registry, or has restarted, without having announced it. */
    record Vanished() implements TargetEvidence {}

    /** The target accepts no more calls because it was drained, was closed by an order or is no longer configured. */
    record Withdrawn() implements TargetEvidence {}
}
