package io.sesamehead.proof.fleet;

/** Outcome of a conditional write as the writer determines it. */
sealed interface WriteOutcome {
    /** The write was applied; a later write may have replaced it. */
    record Accepted(long version) implements WriteOutcome {}

    /** Another write was applied first. */
    record Conflict() implements WriteOutcome {}

    /** The write was definitely not applied. */
    record NotWritten() implements WriteOutcome {}

    /** The write may have been applied or may still be applied. */
    record Unknown() implements WriteOutcome {}
}
