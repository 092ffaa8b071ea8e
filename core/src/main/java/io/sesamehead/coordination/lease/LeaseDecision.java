package io.sesamehead.coordination.lease;

/** Next step of a daemon for the controller lease, decided after reading {@code controllers/<fd>}. */
public sealed interface LeaseDecision {
    /**
     * Write the lease, conditional on the version that was read. Report success with {@link LeaseHolder#accepted}; if
     * the answer is lost, read the object again and pass it to {@link LeaseHolder#decide}.
     *
     * @param lease the content to write
     * @param kind reason for the write
     */
    record Write(Lease lease, Kind kind) implements LeaseDecision {}

    /**
     * Keep the lease, which needs no renewal yet.
     *
     * @param renewAtMillis time at which to renew it, in milliseconds on the local monotonic clock
     */
    record Hold(long renewAtMillis) implements LeaseDecision {}

    /**
     * Wait, because another daemon may still hold the lease.
     *
     * @param untilMillis time at which the lease can be acquired if it has not changed, in milliseconds on the local
     *     monotonic clock
     */
    record Wait(long untilMillis) implements LeaseDecision {}

    /** Reason for a write. */
    enum Kind {
        /** The daemon becomes the holder. */
        ACQUIRE,
        /** The daemon remains the holder. */
        RENEW
    }
}
