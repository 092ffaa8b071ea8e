package io.sesamehead.state;

/**
 * Fencing token of a group: the controller epoch in the upper bits and a change counter in the lower 20 bits. A new
 * controller therefore always issues higher tokens than its predecessors.
 *
 * @param value the token, 0 for "no group"
 */
public record Epoch(long value) implements Comparable<Epoch> {
    /** Epoch of an engine that never belonged to a group. */
    public static final Epoch NONE = new Epoch(0);

    private static final int COUNTER_BITS = 20;
    private static final long COUNTER_MASK = (1L << COUNTER_BITS) - 1;

    /**
     * Packs a controller epoch and a change counter.
     *
     * @param controllerEpoch epoch of the controller lease, from 1
     * @param counter number of changes made under that lease, below 2^20
     * @return the packed epoch
     * @throws IllegalArgumentException if an argument is out of range
     */
    public static Epoch of(long controllerEpoch, long counter) {
        if (controllerEpoch < 1 || counter < 0 || counter > COUNTER_MASK) {
            throw new IllegalArgumentException(
                    "controller epoch below 1 or counter out of range: " + controllerEpoch + ", " + counter);
        }
        return new Epoch(controllerEpoch << COUNTER_BITS | counter);
    }

    /**
     * Returns the epoch of the controller lease under which this token was issued.
     *
     * @return the controller epoch
     */
    public long controllerEpoch() {
        return value >>> COUNTER_BITS;
    }

    /**
     * Returns the change counter within the controller epoch.
     *
     * @return the counter
     */
    public long counter() {
        return value & COUNTER_MASK;
    }

    @Override
    public int compareTo(Epoch other) {
        return Long.compare(value, other.value);
    }
}
