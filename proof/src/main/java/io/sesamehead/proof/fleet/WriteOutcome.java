package io.sesamehead.proof.fleet;

/** What a writer concludes about its write. */
sealed interface WriteOutcome {
    /** The object holds the write, or held it until a later write. */
    record Accepted(long version) implements WriteOutcome {}

    /** Another write came first. */
    record Conflict() implements WriteOutcome {}

    /** The write was certainly not applied. */
    record NotWritten() implements WriteOutcome {}

    /** The write may have been applied or may still be. */
    record Unknown() implements WriteOutcome {}
}
