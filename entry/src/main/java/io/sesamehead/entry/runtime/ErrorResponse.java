package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpResponseStatus;

/** The error responses that the daemon generates itself, with their HTTP status. */
enum ErrorResponse {
    /** The request cannot be parsed. */
    BAD_REQUEST(HttpResponseStatus.BAD_REQUEST, "bad-request", false),
    /** The call carries no key, or an unknown one. */
    UNKNOWN_KEY(HttpResponseStatus.UNAUTHORIZED, "unknown-key", false),
    /** No route matches. */
    NO_ROUTE(HttpResponseStatus.NOT_FOUND, "no-route", false),
    /** The request did not arrive completely within the time limit; it has not run. */
    SLOW_REQUEST(HttpResponseStatus.REQUEST_TIMEOUT, "slow-request", false),
    /** The body exceeds the maximum size. */
    BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body-too-large", false),
    /** The request head exceeds the maximum size. */
    HEAD_TOO_LARGE(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head-too-large", false),
    /** The configuration is missing or stale; the call has not run. */
    NO_CONFIGURATION(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-configuration", true),
    /** No target is available; the call has not run. */
    NO_TARGET(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-target", true),
    /** No target has a free slot; the call has not run. */
    NO_PLACE(HttpResponseStatus.SERVICE_UNAVAILABLE, "no-place", true),
    /** Several upstreams were lost while they ran this call; this request has not run. */
    CRASHED_BEFORE(HttpResponseStatus.SERVICE_UNAVAILABLE, "crashed-before", true),
    /** The deadline passed before the call was sent; it has not run. */
    EXPIRED_UNSENT(HttpResponseStatus.SERVICE_UNAVAILABLE, "expired-unsent", true),
    /** The daemon is stopping and might exit before the call completes; the call has not run. */
    STOPPING(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping", true),
    /** The daemon failed before the call was sent; the call has not run. */
    INTERNAL_FAILURE(HttpResponseStatus.SERVICE_UNAVAILABLE, "internal-failure", true),
    /** The upstream was lost during the call; the call may have run. */
    MAY_HAVE_RUN(HttpResponseStatus.BAD_GATEWAY, "may-have-run", false),
    /** The deadline passed while an upstream had the call; it may have run. */
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

    /** Whether the response states that the call has not run. */
    boolean notRun() {
        return switch (this) {
            case MAY_HAVE_RUN, EXPIRED -> false;
            default -> true;
        };
    }

    /** Whether the response carries Retry-After. */
    boolean retryAdvised() {
        return retryAdvised;
    }
}
