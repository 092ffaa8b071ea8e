package io.sesamehead.coordination.order;

import io.sesamehead.state.IdempotencyRecord;

/** Result of reading an {@code orders} object. */
public sealed interface ClaimRead {
    /** The object does not exist. */
    record Missing() implements ClaimRead {}

    /**
     * The object exists.
     *
     * @param record content of the object
     * @param version its resource version
     */
    record Found(IdempotencyRecord record, String version) implements ClaimRead {}

    /** The object API did not answer. */
    record Unavailable() implements ClaimRead {}
}
