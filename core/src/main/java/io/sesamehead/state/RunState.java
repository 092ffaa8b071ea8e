package io.sesamehead.state;

/** Whether a request was executed by an upstream, as reported to the caller. */
public enum RunState {
    /** No upstream executed any part of the request. */
    NOT_RUN("not-run"),
    /** An upstream executed the request and answered. */
    RAN("ran"),
    /** An upstream may have executed the request; its answer is unknown. */
    MAY_HAVE_RUN("may-have-run");

    private final String wireName;

    RunState(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the value of the {@code run} field in answers.
     *
     * @return the name on the wire
     */
    public String wireName() {
        return wireName;
    }
}
