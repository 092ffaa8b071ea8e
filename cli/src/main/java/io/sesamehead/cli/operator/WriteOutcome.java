package io.sesamehead.cli.operator;

import io.sesamehead.state.Generation;
import java.util.Optional;

/** How an operator's change ended. */
public sealed interface WriteOutcome {
    /**
     * The change was accepted.
     *
     * @param generation generation of the change
     * @param current generation in force when the platform was last read, later than the change's own if another
     *     change followed
     */
    record Accepted(Generation generation, Generation current) implements WriteOutcome {}

    /**
     * Another change came first, and this one was not accepted.
     *
     * @param base generation that this change was made on
     * @param current generation in force; empty when it could not be read
     */
    record Conflict(Generation base, Optional<Generation> current) implements WriteOutcome {}

    /**
     * The change was not accepted.
     *
     * @param detail the cause
     */
    record NotAccepted(String detail) implements WriteOutcome {}

    /**
     * It is not known whether the change was accepted.
     *
     * @param detail the cause
     */
    record Unknown(String detail) implements WriteOutcome {}
}
