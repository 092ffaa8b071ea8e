package io.sesamehead.coordination.catalog;

/**
 * What a caller may send.
 *
 * @param headerBytes largest size of a request's head, in bytes
 * @param bodyBytes largest size of a request's body, in bytes
 * @param headerMillis longest time in which a request must arrive once it has begun, in milliseconds
 * @param idleMillis time after which an idle connection may be closed, in milliseconds
 */
public record CallLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {
    /** Limits before a configuration is known. */
    public static final CallLimits DEFAULT = new CallLimits(16_384, 4_194_304, 3_000, 15_000);
}
