package io.sesamehead.coordination.replica;

/** How an order to an upstream ended. */
public enum OrderResult {
    /** The upstream carries the order out or has done so. */
    ACCEPTED,
    /** The order does not fit the upstream's state. */
    REFUSED,
    /** The upstream has seen a higher fencing number. */
    FENCED,
    /** No process listens at the address, or another one does. */
    NO_SUCH_UPSTREAM,
    /** No answer: the order may take effect now, later, or never. */
    UNKNOWN
}
