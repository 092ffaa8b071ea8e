package io.sesamehead.coordination.request;

import io.sesamehead.state.Outcome;

/** Action after the end of an attempt. */
public sealed interface NextStep {
    /** Another attempt may be sent; a stream resumes after its last delivered token. */
    record Retry() implements NextStep {}

    /**
     * The request has ended.
     *
     * @param outcome its outcome
     */
    record Finish(Outcome outcome) implements NextStep {}
}
