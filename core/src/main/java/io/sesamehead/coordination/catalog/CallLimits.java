package io.sesamehead.coordination.catalog;

import com.google.common.primitives.Ints;

/**
 * Limits for callers.
 *
 * @param maxHeaderBytes maximum size of a request's head, in bytes
 * @param maxBodyBytes maximum size of a request's body, in bytes
 * @param headerTimeoutMillis time within which a request must arrive once it has begun, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection may be closed, in milliseconds
 */
public record CallLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until a configuration has been read. */
    public static final CallLimits DEFAULT = new CallLimits(16_384, 4_194_304, 3_000, 15_000);

    /** Headers that a daemon adds to a call that it passes on to another one, at most, in bytes. */
    private static final int PASSED_ON_HEADER_BYTES = 4_096;

    /**
     * Returns limits that allow what either of two versions allows, for a request that was begun under one of them and
     * ends under the other.
     *
     * @param other the other version
     * @return the larger value of each limit
     */
    public CallLimits mostGenerous(CallLimits other) {
        return new CallLimits(
                Math.max(maxHeaderBytes, other.maxHeaderBytes),
                Math.max(maxBodyBytes, other.maxBodyBytes),
                Math.max(headerTimeoutMillis, other.headerTimeoutMillis),
                Math.max(idleTimeoutMillis, other.idleTimeoutMillis));
    }

    /**
     * Returns the limits of a call that another daemon has passed on. That daemon has admitted it, perhaps under a newer
     * configuration with up to twice the sizes, and has added headers.
     *
     * @return limits for calls of peers
     */
    public CallLimits ofPassedOnCall() {
        return new CallLimits(
                Ints.saturatedCast(2L * maxHeaderBytes + PASSED_ON_HEADER_BYTES),
                Ints.saturatedCast(2L * maxBodyBytes),
                headerTimeoutMillis,
                idleTimeoutMillis);
    }
}
