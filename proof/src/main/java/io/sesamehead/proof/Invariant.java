package io.sesamehead.proof;

import java.util.Arrays;
import java.util.Optional;

/** The invariants of the design, section 1.3. */
public enum Invariant {
    /** No group serves while any of its members is missing. */
    WHOLE_GROUP("whole-group"),
    /** No VM belongs to two groups at once. */
    ONE_GROUP("one-group"),
    /** Every caller receives the whole answer to its own request. */
    OWN_ANSWER("own-answer"),
    /** A request reported as not run was not run. */
    NOT_RUN("not-run"),
    /** A non-idempotent request runs at most once. */
    AT_MOST_ONCE("at-most-once"),
    /** A leaving upstream receives no new work after the bound. */
    LEAVING("leaving"),
    /** A planned stop interrupts no request in flight. */
    GRACEFUL_STOP("graceful-stop"),
    /** An accepted configuration comes into force everywhere and never reverts. */
    CONFIG("config");

    private final String label;

    Invariant(String label) {
        this.label = label;
    }

    /**
     * Returns the name used on the command line and in the documents.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * Finds an invariant by its label.
     *
     * @param label the name as used on the command line
     * @return the invariant, or empty
     */
    public static Optional<Invariant> byLabel(String label) {
        return Arrays.stream(values())
                .filter(invariant -> invariant.label.equals(label))
                .findFirst();
    }
}
