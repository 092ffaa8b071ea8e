package io.sesamehead.state;

/** When an error answer contains a {@code Retry-After} time. */
public enum RetryAdvice {
    /** A retry of the unchanged request cannot succeed. */
    NEVER,
    /** A retry is safe and may succeed later. */
    ALWAYS,
    /** A retry is safe only for an idempotent or keyed request. */
    IF_REPEATABLE
}
