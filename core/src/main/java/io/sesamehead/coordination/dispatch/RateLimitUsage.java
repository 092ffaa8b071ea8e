package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.Map;

/**
 * What one daemon or several have sent to upstreams with a rate limit and received for their services lately, as counts
 * that decay.
 *
 * @param daemons number of daemons that the counts cover
 * @param sent decayed count of requests sent, by upstream
 * @param arrived decayed count of calls arrived, by service
 */
public record RateLimitUsage(int daemons, Map<UpstreamIncarnation, Double> sent, Map<ServiceName, Double> arrived) {
    /** Usage of no daemon. */
    public static final RateLimitUsage NONE = new RateLimitUsage(0, Map.of(), Map.of());

    /** Copies the maps. */
    public RateLimitUsage {
        sent = Map.copyOf(sent);
        arrived = Map.copyOf(arrived);
    }

    /**
     * Returns the sum of two usages.
     *
     * @param other usage of other daemons
     * @return the sum
     */
    public RateLimitUsage plus(RateLimitUsage other) {
        return new RateLimitUsage(daemons + other.daemons, sum(sent, other.sent, 1), sum(arrived, other.arrived, 1));
    }

    /**
     * Returns the usage of the other daemons in a sum.
     *
     * @param part usage of daemons that the sum includes
     * @return the sum without them
     */
    public RateLimitUsage minus(RateLimitUsage part) {
        return new RateLimitUsage(
                Math.max(0, daemons - part.daemons), sum(sent, part.sent, -1), sum(arrived, part.arrived, -1));
    }

    private static <K> Map<K, Double> sum(Map<K, Double> first, Map<K, Double> second, int sign) {
        Map<K, Double> sums = new HashMap<>(first);
        second.forEach((key, count) -> sums.merge(key, sign * count, Double::sum));
        sums.values().removeIf(count -> count <= 0);
        return sums;
    }
}
