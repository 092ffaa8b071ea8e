package io.sesamehead.coordination.order;

import io.sesamehead.state.IdempotencyRecord;

/** Next step in recording a result. */
public sealed interface ResultDecision {
    /**
     * Write the result and pass the outcome of the write to {@link ClaimPlanner#onResultWritten}.
     *
     * @param objectName name of the object
     * @param record content to write
     * @param version resource version on which the write is conditional
     */
    record Write(String objectName, IdempotencyRecord record, String version) implements ResultDecision {}

    /**
     * Read the object and pass the content to {@link ClaimPlanner#onResultReadBack}.
     *
     * @param write the unresolved write
     */
    record ReadBack(Write write) implements ResultDecision {}

    /** The result is recorded. */
    record Recorded() implements ResultDecision {}

    /** The result cannot be recorded; the key stays claimed. */
    record GiveUp() implements ResultDecision {}

    /**
     * The object API does not answer: retry the write later.
     *
     * @param write the write, unchanged
     */
    record RetryLater(Write write) implements ResultDecision {}
}
