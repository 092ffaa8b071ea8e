package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.Map;

/** Remembers upstreams that do not answer orders, so that no group is planned with them. Not thread-safe. */
final class ReachabilityTracker {
    /** Unanswered orders in a row after which an upstream is left out. */
    private static final int UNANSWERED_LIMIT = 2;
    /** How long it is left out, in milliseconds: a little more than one registry heartbeat. */
    private static final long EXCLUSION_MILLIS = 1_500;

    private final Map<InstanceId, Integer> unansweredOrders = new HashMap<>();
    private final Map<InstanceId, Long> excludedUntilMillis = new HashMap<>();

    void recordAnswer(InstanceId id) {
        unansweredOrders.remove(id);
        excludedUntilMillis.remove(id);
    }

    void recordNoAnswer(InstanceId id, long nowMillis) {
        int count = unansweredOrders.merge(id, 1, Integer::sum);
        if (count >= UNANSWERED_LIMIT) {
            excludedUntilMillis.put(id, nowMillis + EXCLUSION_MILLIS);
        }
    }

    void recordAbsent(InstanceId id, long nowMillis) {
        excludedUntilMillis.put(id, nowMillis + EXCLUSION_MILLIS);
    }

    boolean reachable(InstanceId id, long nowMillis) {
        Long until = excludedUntilMillis.get(id);
        return until == null || nowMillis >= until;
    }
}
