package io.sesamehead.coordination.catalog;

/**
 * What a caller may send.
 *
 * @param maxHeaderBytes largest size of a request's head, in bytes
 * @param maxBodyBytes largest size of a request's body, in bytes
 * @param headerTimeoutMillis longest time in which a request must arrive once it has begun, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection may be closed, in milliseconds
 */
public record CallLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits before a configuration is known. */
    public static final CallLimits DEFAULT = new CallLimits(16_384, 4_194_304, 3_000, 15_000);
}
