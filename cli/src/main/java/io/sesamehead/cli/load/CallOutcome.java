package io.sesamehead.cli.load;

import java.util.Locale;

/** How a call ended, as its caller saw it. */
public enum CallOutcome {
    /** The complete and correct answer arrived. */
    WHOLE,
    /** Every attempt was answered not-run, or reached no daemon. */
    NOT_RUN,
    /** An attempt may have run and its answer is not known. */
    UNKNOWN,
    /** A stream ended without an end or error event. */
    TORN,
    /** The upstream ran the call and answered with an error. */
    FAILED,
    /** A complete answer arrived that is not the answer to this call. */
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
