package io.sesamehead.state;

import java.util.Objects;

/**
 * One attempt to run a request on an upstream. The attempts of a request are numbered consecutively.
 *
 * @param request the caller's request
 * @param number the attempt number, at least 1
 */
public record AttemptId(RequestId request, int number) {
    /** Rejects a missing request and numbers below 1. */
    public AttemptId {
        Objects.requireNonNull(request, "request");
        if (number < 1) {
            throw new IllegalArgumentException("attempt number below 1: " + number);
        }
    }
}
