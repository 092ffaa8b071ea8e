package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpResponseStatus;

/** The closed list of answers that the daemon makes itself, with their HTTP status. */
enum ErrorResponse {
    /** The request cannot be parsed. */
    BAD_REQUEST(HttpResponseStatus.BAD_REQUEST, "bad-request", false),
    /** The call names no known key. */
    UNKNOWN_KEY(HttpResponseStatus.UNAUTHORIZED, "unknown-key", false),
    /** No route matches. */
    NO_ROUTE(HttpResponseStatus.NOT_FOUND, "no-route", false),
    /** The request did not arrive in time; it has not run. */
    SLOW_REQUEST(HttpResponseStatus.REQUEST_TIMEOUT, "slow-request", false),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body-too-large", false),
    /** The head is larger than the limit. */
    HEAD_TOO_LARGE(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head-too-large", false),
    /** No configuration, or none that is recent enough; the call has not run. */
    NO_CONFIGURATION(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-configuration", true),
    /** No upstream can take the call; it has not run. */
    NO_TARGET(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-target", true),
    /** All places are taken; the call has not run. */
    NO_PLACE(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-place", true),
    /** The call was running each time its upstreams broke off; this try has not run. */
    CRASHED_BEFORE(HttpResponseStatus.SERVICE_UNAVAILABLE, "crashed-before", true),
    /** Time ran out before the call was sent; it has not run. */
    EXPIRED_UNSENT(HttpResponseStatus.SERVICE_UNAVAILABLE, "expired-unsent", true),
    /** The daemon stops and the time left is too short; the call has not run. */
    STOPPING(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping", true),
    /** The upstream broke off; the call may have run. */
    MAY_HAVE_RUN(HttpResponseStatus.BAD_GATEWAY, "may-have-run", false),
    /** Time ran out while the call was at an upstream; it may have run. */
    EXPIRED(HttpResponseStatus.GATEWAY_TIMEOUT, "expired", false);

    private final HttpResponseStatus status;
    private final String type;
    private final boolean retryAdvised;

    ErrorResponse(HttpResponseStatus status, String type, boolean retryAdvised) {
        this.status = status;
        this.type = type;
        this.retryAdvised = retryAdvised;
    }

    HttpResponseStatus status() {
        return status;
    }

    String type() {
        return type;
    }

    /** Tells whether the answer says when to come back. */
    boolean retryAdvised() {
        return retryAdvised;
    }
}
