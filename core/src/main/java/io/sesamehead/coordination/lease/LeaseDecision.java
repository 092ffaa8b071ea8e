package io.sesamehead.coordination.lease;

/** What a daemon does about the controller lease after it read {@code controllers/<fd>}. */
public sealed interface LeaseDecision {
    /**
     * Write this lease, conditional on the version that was read. Report success with {@link LeaseHolder#accepted};
     * after a lost answer, read the object again and pass it to {@link LeaseHolder#decide}.
     *
     * @param lease the content to write
     * @param kind why it is written
     */
    record Write(Lease lease, Kind kind) implements LeaseDecision {}

    /**
     * The lease is held and needs no renewal yet.
     *
     * @param renewAtMillis when it is to be renewed, on the local monotonic clock
     */
    record Hold(long renewAtMillis) implements LeaseDecision {}

    /**
     * Another daemon may still hold the lease.
     *
     * @param untilMillis when it can be taken if it does not change, on the local monotonic clock
     */
    record Wait(long untilMillis) implements LeaseDecision {}

    /** Why a lease is written. */
    enum Kind {
        /** This daemon becomes the holder. */
        ACQUIRE,
        /** This daemon remains the holder. */
        RENEW
    }
}
