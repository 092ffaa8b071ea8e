package io.sesamehead.coordination.catalog;

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
}
