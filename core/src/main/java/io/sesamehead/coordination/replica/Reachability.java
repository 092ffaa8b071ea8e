package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.Map;

/** Remembers upstreams that do not answer orders, so that no group is planned with them. Not thread-safe. */
final class Reachability {
    /** Unanswered orders in a row after which an upstream is left out. */
    private static final int UNANSWERED_LIMIT = 2;
    /** How long it is left out, in milliseconds: a little more than one registry heartbeat. */
    private static final long PENALTY_MILLIS = 1_500;

    private final Map<InstanceId, Integer> unanswered = new HashMap<>();
    private final Map<InstanceId, Long> leftOutUntil = new HashMap<>();

    void answered(InstanceId id) {
        unanswered.remove(id);
        leftOutUntil.remove(id);
    }

    void unanswered(InstanceId id, long nowMillis) {
        int count = unanswered.merge(id, 1, Integer::sum);
        if (count >= UNANSWERED_LIMIT) {
            leftOutUntil.put(id, nowMillis + PENALTY_MILLIS);
        }
    }

    void absent(InstanceId id, long nowMillis) {
        leftOutUntil.put(id, nowMillis + PENALTY_MILLIS);
    }

    boolean reachable(InstanceId id, long nowMillis) {
        Long until = leftOutUntil.get(id);
        return until == null || nowMillis >= until;
    }
}
