package io.sesamehead.coordination.dispatch;

/** Where a call goes. */
public sealed interface DispatchDecision {
    /**
     * Send the call.
     *
     * @param target where to
     * @param expectedMillis estimated time until its first event or answer, in milliseconds
     */
    record Send(Target target, long expectedMillis) implements DispatchDecision {}

    /**
     * Refuse the call; it has not run.
     *
     * @param reason why
     * @param retryAfterMillis when to come back, in milliseconds
     */
    record Refuse(Reason reason, long retryAfterMillis) implements DispatchDecision {}

    /** Why a call is refused. */
    enum Reason {
        /** No upstream of the service can take calls. */
        NO_TARGET,
        /** All places are taken for longer than the call can wait. */
        NO_PLACE
    }
}
