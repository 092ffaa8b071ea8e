package io.sesamehead.coordination.replica;

/**
 * Load of one model over all daemons.
 *
 * @param running calls in flight at its groups
 * @param refusedPerSecond calls refused for lack of a place, a second
 */
public record ModelDemand(double running, double refusedPerSecond) {
    /** No load. */
    public static final ModelDemand NONE = new ModelDemand(0, 0);
}
