package io.sesamehead.coordination.request;

/** Whether a request may run on an upstream, given the crashes it was part of. */
public sealed interface SuspectDecision {
    /** The attempt may go out and is recorded as running on the upstream. */
    record Run() implements SuspectDecision {}

    /** Another suspect runs on the upstream, or the upstream takes the suspects of another daemon: choose another one. */
    record ChooseAnother() implements SuspectDecision {}

    /** The same suspect runs in another attempt: try again when that has ended. */
    record Wait() implements SuspectDecision {}

    /**
     * The request is refused as quarantined.
     *
     * @param remainingMillis rest of the quarantine, in milliseconds
     */
    record Quarantined(long remainingMillis) implements SuspectDecision {}
}
