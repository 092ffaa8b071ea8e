package io.sesamehead.coordination.request;

/** How one attempt ended, as its connection saw it. */
public sealed interface AttemptOutcome {
    /** The upstream's whole answer arrived; for a stream, {@link StreamSequence#isComplete()} holds. */
    record Completed() implements AttemptOutcome {}

    /**
     * The upstream stated that it did not run the attempt.
     *
     * @param detail a sentence for the caller
     */
    record Refused(String detail) implements AttemptOutcome {}

    /**
     * The upstream ran the attempt and answered with an error.
     *
     * @param detail a sentence for the caller
     */
    record Failed(String detail) implements AttemptOutcome {}

    /**
     * The connection could not be opened, or it broke before the answer was complete.
     *
     * @param detail a sentence for the caller
     */
    record Lost(String detail) implements AttemptOutcome {}
}
