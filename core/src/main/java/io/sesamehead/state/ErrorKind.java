package io.sesamehead.state;

import java.util.Locale;

/** All errors that can be returned to a caller, with the HTTP status and text of the answer. */
public enum ErrorKind {
    /** The body is not valid JSON of the expected form. */
    BAD_JSON(400, RunState.NOT_RUN, RetryAdvice.NEVER, "The body is not valid JSON"),
    /** A request header is malformed or out of range. */
    BAD_HEADER(400, RunState.NOT_RUN, RetryAdvice.NEVER, "A request header is out of range"),
    /** The client account header is missing. */
    MISSING_ACCOUNT(401, RunState.NOT_RUN, RetryAdvice.NEVER, "The client account is missing"),
    /** The release note in force does not contain the service. */
    UNKNOWN_SERVICE(404, RunState.NOT_RUN, RetryAdvice.NEVER, "There is no such service"),
    /** The path does not exist. */
    UNKNOWN_PATH(404, RunState.NOT_RUN, RetryAdvice.NEVER, "There is no such path"),
    /** The body exceeds the configured maximum size. */
    BODY_TOO_LARGE(413, RunState.NOT_RUN, RetryAdvice.NEVER, "The body is too large"),
    /** The idempotency key was used before with a different body. */
    KEY_REUSED(422, RunState.NOT_RUN, RetryAdvice.NEVER, "The idempotency key was used with another body"),
    /** The queue or the share of the client account is full. */
    OVERLOADED(429, RunState.NOT_RUN, RetryAdvice.ALWAYS, "The service is overloaded"),
    /** The deadline passed, or would pass, before the request was dispatched. */
    DEADLINE_BEFORE_RUN(504, RunState.NOT_RUN, RetryAdvice.ALWAYS, "The deadline passed before the request was run"),
    /** No complete group serves the service. */
    NO_GROUP(503, RunState.NOT_RUN, RetryAdvice.ALWAYS, "No complete group serves the service"),
    /** The upstream refused the request before running it. */
    UPSTREAM_REFUSED(503, RunState.NOT_RUN, RetryAdvice.ALWAYS, "The upstream refused the request"),
    /** A keyed request could not be claimed because the object API does not answer. */
    STORE_UNAVAILABLE(503, RunState.NOT_RUN, RetryAdvice.ALWAYS, "The request could not be claimed"),
    /** The daemon is shutting down. */
    SHUTTING_DOWN(503, RunState.NOT_RUN, RetryAdvice.ALWAYS, "The daemon is shutting down"),
    /** The request crashed upstreams and is temporarily refused. */
    QUARANTINED(422, RunState.NOT_RUN, RetryAdvice.ALWAYS, "The request is quarantined because it crashed upstreams"),
    /** The key is claimed by an attempt whose result this daemon does not have. */
    CLAIMED_ELSEWHERE(409, RunState.MAY_HAVE_RUN, RetryAdvice.ALWAYS, "The idempotency key is already claimed"),
    /** The connection to the upstream broke after bytes were sent. */
    UPSTREAM_LOST(502, RunState.MAY_HAVE_RUN, RetryAdvice.IF_REPEATABLE, "The upstream was lost during the request"),
    /** The deadline passed while the upstream was running the request. */
    DEADLINE_DURING_RUN(
            504, RunState.MAY_HAVE_RUN, RetryAdvice.IF_REPEATABLE, "The deadline passed while the request was running"),
    /** A stream broke and could not be resumed. */
    STREAM_TORN(502, RunState.MAY_HAVE_RUN, RetryAdvice.IF_REPEATABLE, "The stream broke and could not be resumed"),
    /** The caller closed its connection; recorded but never delivered. */
    CLIENT_GONE(499, RunState.MAY_HAVE_RUN, RetryAdvice.NEVER, "The client closed the connection"),
    /** The upstream ran the request and answered with an error. */
    UPSTREAM_FAILED(502, RunState.RAN, RetryAdvice.NEVER, "The upstream ran the request and failed"),
    /** An internal fault of the daemon. */
    INTERNAL(500, RunState.MAY_HAVE_RUN, RetryAdvice.NEVER, "Internal error");

    private static final String TYPE_PREFIX = "urn:sesamehead:error:";

    private final int status;
    private final RunState runState;
    private final RetryAdvice retryAdvice;
    private final String title;

    ErrorKind(int status, RunState runState, RetryAdvice retryAdvice, String title) {
        this.status = status;
        this.runState = runState;
        this.retryAdvice = retryAdvice;
        this.title = title;
    }

    /**
     * Returns the HTTP status of the answer.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the run state that the answer reports.
     *
     * @return the run state
     */
    public RunState runState() {
        return runState;
    }

    /**
     * Returns when the answer contains {@code Retry-After}.
     *
     * @return the advice
     */
    public RetryAdvice retryAdvice() {
        return retryAdvice;
    }

    /**
     * Returns the title of the problem document.
     *
     * @return a short sentence
     */
    public String title() {
        return title;
    }

    /**
     * Returns the problem type, which stays stable across versions.
     *
     * @return a URN such as {@code urn:sesamehead:error:no-group}
     */
    public String type() {
        return TYPE_PREFIX + name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
