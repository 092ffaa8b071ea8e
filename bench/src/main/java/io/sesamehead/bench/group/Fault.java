package io.sesamehead.bench.group;

/**
 * One event of a run.
 *
 * @param atMillis virtual time, in milliseconds
 * @param kind what happens
 * @param victim choice of the VM or the fabric domain, taken modulo their number
 * @param outageMillis time until what was lost is back, in milliseconds
 */
record Fault(long atMillis, Kind kind, int victim, long outageMillis) {
    /** What happens to a VM, or to a fabric domain. */
    enum Kind {
        /** The VM never comes back; another one takes its place after the outage. */
        VM_FAILURE,
        /** The engine is lost and comes back empty. */
        RESTART,
        /** The VM does not answer and comes back as if nothing had happened. */
        PAUSE,
        /** No VM of a fabric domain is reachable; they come back unchanged. */
        DARK_FABRIC_DOMAIN
    }
}
