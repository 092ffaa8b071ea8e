package io.sesamehead.coordination.dispatch;

/** Result of dispatching a call: the target to send it to, or a refusal. */
public sealed interface DispatchDecision {
    /**
     * The call is sent.
     *
     * @param target where the call is sent
     * @param expectedMillis estimated time until its first event or answer, in milliseconds
     */
    record Send(Target target, long expectedMillis) implements DispatchDecision {}

    /**
     * The call is refused and has not run.
     *
     * @param reason the reason for the refusal
     * @param retryAfterMillis time after which the caller should retry, in milliseconds
     */
    record Refuse(Reason reason, long retryAfterMillis) implements DispatchDecision {}

    /** Reason for a refusal. */
    enum Reason {
        /** No usable target serves the call. */
        NO_TARGET,
        /** All slots are in use for longer than the call can wait. */
        NO_PLACE
    }
}
