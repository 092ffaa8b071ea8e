package io.sesamehead.cli.load;

import java.util.Locale;

/** Outcome of a call from the point of view of its caller. */
public enum CallOutcome {
    /** The complete and correct answer was received. */
    WHOLE,
    /** Each attempt was answered with not-run or reached no daemon. */
    NOT_RUN,
    /** An attempt may have run, but its answer is unknown. */
    UNKNOWN,
    /** An event stream ended without an end or error event. */
    TORN,
    /** The upstream ran the call and answered with an error. */
    FAILED,
    /** A complete answer was received that does not match this call. */
    WRONG;

    /**
     * Returns the field name in the result file.
     *
     * @return the name in camel case
     */
    public String fieldName() {
        return this == NOT_RUN ? "notRun" : name().toLowerCase(Locale.ROOT);
    }
}
