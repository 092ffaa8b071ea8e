package io.sesamehead.proof;

import java.util.Arrays;
import java.util.Optional;

/** Invariants from section 1.3 of the design. */
public enum Invariant {
    /** No group serves while any of its members is missing. */
    WHOLE_GROUP("whole-group"),
    /** No VM belongs to two groups at once. */
    ONE_GROUP("one-group"),
    /** Every caller receives the complete response to its own request. */
    OWN_ANSWER("own-answer"),
    /** A request reported as not run was not run. */
    NOT_RUN("not-run"),
    /** A non-idempotent request runs at most once. */
    AT_MOST_ONCE("at-most-once"),
    /** A leaving upstream receives no new work once the time bound after its announcement has passed. */
    LEAVING("leaving"),
    /** A planned stop does not interrupt requests in flight. */
    GRACEFUL_STOP("graceful-stop"),
    /** An accepted configuration takes effect everywhere and is never reverted. */
    CONFIG("config");

    private final String label;

    Invariant(String label) {
        this.label = label;
    }

    /**
     * Returns the name used on the command line and in the documentation.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * Finds an invariant by its name.
     *
     * @param label name used on the command line
     * @return the invariant, or empty if there is none with that name
     */
    public static Optional<Invariant> byLabel(String label) {
        return Arrays.stream(values())
                .filter(invariant -> invariant.label.equals(label))
                .findFirst();
    }
}
