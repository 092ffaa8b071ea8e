package io.sesamehead.coordination.order;

/** Result of a conditional write of an {@code orders} object. */
public sealed interface ClaimWrite {
    /**
     * The write took effect.
     *
     * @param version resource version after the write
     */
    record Written(String version) implements ClaimWrite {}

    /** The write was refused because the object exists or has another version. */
    record Conflict() implements ClaimWrite {}

    /** The answer was lost or timed out: the write may have taken effect or may still take effect. */
    record Ambiguous() implements ClaimWrite {}

    /** The write did not reach the object API, or was refused because of a rate limit or an outage. */
    record Unavailable() implements ClaimWrite {}
}
