package io.sesamehead.coordination.request;

/** Outcome of one attempt, as observed on its connection. */
public sealed interface AttemptOutcome {
    /** The complete answer arrived; for a stream, {@link StreamSequence#isComplete()} is true. */
    record Completed() implements AttemptOutcome {}

    /**
     * The upstream reported that it did not run the attempt.
     *
     * @param detail one-sentence explanation for the caller
     */
    record Refused(String detail) implements AttemptOutcome {}

    /**
     * The upstream ran the attempt and answered with an error.
     *
     * @param detail one-sentence explanation for the caller
     */
    record Failed(String detail) implements AttemptOutcome {}

    /**
     * The connection could not be opened, or it broke before the answer was complete.
     *
     * @param detail one-sentence explanation for the caller
     */
    record Lost(String detail) implements AttemptOutcome {}
}
