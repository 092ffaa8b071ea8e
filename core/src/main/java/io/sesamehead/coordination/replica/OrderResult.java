package io.sesamehead.coordination.replica;

/** Result of an order sent to an upstream. */
public enum OrderResult {
    /** The upstream is executing the order or has executed it. */
    ACCEPTED,
    /** The upstream will not execute the order, also if it is repeated. */
    REFUSED,
    /** The order does not fit the upstream's present state, which its entry may not show yet. */
    CONFLICT,
    /** The upstream has seen a higher fencing token. */
    FENCED,
    /** No process listens at the address, or a different upstream does. */
    NO_SUCH_UPSTREAM,
    /** No answer: the order may take effect now, later or never. */
    UNKNOWN
}
