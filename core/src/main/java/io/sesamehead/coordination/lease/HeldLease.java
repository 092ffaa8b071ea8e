package io.sesamehead.coordination.lease;

/**
 * A held lease under which orders may currently be sent.
 *
 * @param epoch epoch of the lease, used as fencing token
 * @param heldSinceMillis start of the uninterrupted period in which this daemon may send, in milliseconds on the local
 *     monotonic clock
 */
public record HeldLease(long epoch, long heldSinceMillis) {}
