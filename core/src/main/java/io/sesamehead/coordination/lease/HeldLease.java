package io.sesamehead.coordination.lease;

/**
 * A lease under which orders may be sent at present.
 *
 * @param epoch fencing number of the lease
 * @param heldSinceMillis start of the unbroken period in which this daemon could send, on the local monotonic clock
 */
public record HeldLease(long epoch, long heldSinceMillis) {}
