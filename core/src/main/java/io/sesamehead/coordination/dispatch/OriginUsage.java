package io.sesamehead.coordination.dispatch;

import io.sesamehead.state.FailureDomain;
import java.util.HashMap;
import java.util.Map;

/**
 * Calls in flight by the failure domain of the daemons that took them from their callers.
 *
 * @param daemons number of daemons that the report covers
 * @param stating number of those whose calls are included; daemons of former builds state none
 * @param inFlight calls in flight by origin; a row without calls shows that daemons of its failure domain are included
 */
public record OriginUsage(int daemons, int stating, Map<Origin, Integer> inFlight) {
    /** Usage of no daemon. */
    public static final OriginUsage NONE = new OriginUsage(0, 0, Map.of());

    /** Copies the map. */
    public OriginUsage {
        inFlight = Map.copyOf(inFlight);
    }

    /**
     * Where calls come from and what they need.
     *
     * @param failureDomain failure domain of the daemon that took the call from its caller
     * @param pool {@link TargetPool#hash}, 0 in the row that only shows that the failure domain is included
     */
    public record Origin(FailureDomain failureDomain, int pool) {}

    /**
     * Returns the usage of one daemon.
     *
     * @param failureDomain its failure domain
     * @param inFlightByPool its calls in flight by {@link TargetPool#hash}
     * @return the usage, which shows the failure domain even if no call is in flight
     */
    public static OriginUsage ofDaemon(FailureDomain failureDomain, Map<Integer, Integer> inFlightByPool) {
        Map<Origin, Integer> rows = new HashMap<>();
        rows.put(new Origin(failureDomain, 0), 0);
        inFlightByPool.forEach((pool, calls) -> rows.put(new Origin(failureDomain, pool), calls));
        return new OriginUsage(1, 1, rows);
    }

    /**
     * Returns whether every daemon that the report covers is included.
     *
     * @return false if any of them runs a build that states no origins
     */
    public boolean complete() {
        return stating >= daemons;
    }

    /**
     * Returns the sum of two usages.
     *
     * @param other usage of other daemons
     * @return the sum
     */
    public OriginUsage plus(OriginUsage other) {
        return new OriginUsage(daemons + other.daemons, stating + other.stating, sum(other, 1));
    }

    /**
     * Returns the usage of the other daemons in a sum.
     *
     * @param part usage of daemons that the sum includes
     * @return the sum without them
     */
    public OriginUsage minus(OriginUsage part) {
        return new OriginUsage(Math.max(0, daemons - part.daemons), Math.max(0, stating - part.stating), sum(part, -1));
    }

    private Map<Origin, Integer> sum(OriginUsage other, int sign) {
        Map<Origin, Integer> sums = new HashMap<>(inFlight);
        other.inFlight.forEach((origin, calls) -> sums.merge(origin, sign * calls, Integer::sum));
        sums.replaceAll((origin, calls) -> Math.max(0, calls));
        return sums;
    }
}
