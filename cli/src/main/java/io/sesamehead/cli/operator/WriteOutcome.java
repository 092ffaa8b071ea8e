package io.sesamehead.cli.operator;

import io.sesamehead.state.Generation;
import java.util.Optional;

/** Outcome of an operator's change. */
public sealed interface WriteOutcome {
    /**
     * The change was accepted.
     *
     * @param generation generation of the change
     * @param current generation in force when the platform was last read; higher than that of the change if another
     *     change followed
     */
    record Accepted(Generation generation, Generation current) implements WriteOutcome {}

    /**
     * The change was not accepted because another change was accepted first.
     *
     * @param base generation on which the change is based
     * @param current generation in force; empty if it could not be read
     */
    record Conflict(Generation base, Optional<Generation> current) implements WriteOutcome {}

    /**
     * The change was not accepted.
     *
     * @param detail the cause
     */
    record NotAccepted(String detail) implements WriteOutcome {}

    /**
     * It is unknown whether the change was accepted.
     *
     * @param detail the cause
     */
    record Unknown(String detail) implements WriteOutcome {}
}
