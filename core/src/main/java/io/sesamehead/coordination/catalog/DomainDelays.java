package io.sesamehead.coordination.catalog;

import io.sesamehead.state.FailureDomain;
import java.util.Map;

/**
 * One-way network delays between failure domains, as the operators state them.
 *
 * @param millisByPair delay by the names of two failure domains, in either order, in milliseconds
 */
public record DomainDelays(Map<Pair, Double> millisByPair) {
    /** No stated delays. */
    public static final DomainDelays NONE = new DomainDelays(Map.of());

    /** Delay between two failure domains for which none is stated, in milliseconds. */
    private static final double DEFAULT_MILLIS = 1;

    /** Copies the map. */
    public DomainDelays {
        millisByPair = Map.copyOf(millisByPair);
    }

    /**
     * Two failure domains.
     *
     * @param one a failure domain
     * @param other a failure domain
     */
    public record Pair(FailureDomain one, FailureDomain other) {}

    /**
     * Returns the delay between two failure domains.
     *
     * @param one a failure domain
     * @param other a failure domain
     * @return the one-way delay in milliseconds, 0 within one failure domain
     */
    public double millis(FailureDomain one, FailureDomain other) {
        if (one.equals(other)) {
            return 0;
        }
        Double stated = millisByPair.get(new Pair(one, other));
        return stated != null ? stated : millisByPair.getOrDefault(new Pair(other, one), DEFAULT_MILLIS);
    }
}
