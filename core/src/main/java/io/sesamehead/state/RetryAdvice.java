package io.sesamehead.state;

/** When an error answer carries a time to come back. */
public enum RetryAdvice {
    /** The same request cannot succeed later without a change. */
    NEVER,
    /** A repeat is safe and can succeed later. */
    ALWAYS,
    /** A repeat is safe only for an idempotent or keyed request. */
    IF_REPEATABLE
}
