package io.sesamehead.coordination.replica;

/**
 * Demand for one model across all daemons. Log lines contain the string form of this record, so its name and components
 * must not change.
 *
 * @param running number of calls in flight at the model's groups
 * @param refusedPerSecond calls refused per second because no slot was free, averaged with the time constant
 *     {@link #REFUSAL_DECAY_MILLIS}
 */
public record ModelDemand(double running, double refusedPerSecond) {
    /** Time constant of the exponential decay of the refusal rate, in milliseconds. */
    public static final double REFUSAL_DECAY_MILLIS = 2_000;

    /** No demand. */
    public static final ModelDemand NONE = new ModelDemand(0, 0);
}
