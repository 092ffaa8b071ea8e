package io.sesamehead.state;

import java.util.Objects;

/**
 * One attempt to run a request on an upstream. The attempts of a request are numbered consecutively.
 *
 * @param request the caller's request
 * @param number the attempt number, from 1
 */
public record AttemptId(RequestId request, int number) {
    /** Rejects a null request and numbers below 1. */
    public AttemptId {
        Objects.requireNonNull(request, "request");
        if (number < 1) {
            throw new IllegalArgumentException("attempt number must not be below 1: " + number);
        }
    }
}
