package io.sesamehead.coordination.request;

/** Decision whether an attempt may run on an upstream, based on the crash history of its request. */
public sealed interface SuspectDecision {
    /** The attempt may be sent and is recorded as running on the upstream. */
    record Run() implements SuspectDecision {}

    /**
     * Another suspect runs on the upstream, or it is reserved for suspects of another daemon: choose another
     * upstream.
     */
    record ChooseAnother() implements SuspectDecision {}

    /** The same suspect is running in another attempt: try again after that attempt has ended. */
    record Wait() implements SuspectDecision {}

    /**
     * The request is refused as quarantined.
     *
     * @param remainingMillis remaining time of the quarantine, in milliseconds
     */
    record Quarantined(long remainingMillis) implements SuspectDecision {}
}
