package io.sesamehead.coordination.replica;

/**
 * Demand for one model across all daemons. Log lines contain the string form of this record, so its name and components
 * must not change.
 *
 * @param running number of calls in flight at the model's groups
 * @param refusedPerSecond calls refused per second because no slot was free
 */
public record ModelDemand(double running, double refusedPerSecond) {
    /** No demand. */
    public static final ModelDemand NONE = new ModelDemand(0, 0);
}
