package io.sesamehead.coordination.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * This daemon's own paths to the targets. A failed connection tells nothing of the target by itself; together with
 * progress that a peer has seen there since, it shows that the path from this daemon is lost.
 */
final class TargetPaths {
    /** Initial backoff after a failed connection to a target, in milliseconds: about the connect timeout. */
    private static final long MIN_UNREACHABLE_MILLIS = 1_000;
    /** Maximum backoff, in milliseconds, so that a target that recovers is used again within a few seconds. */
    private static final long MAX_UNREACHABLE_MILLIS = 4_000;
    /** Age up to which the progress of a target at a peer shows that the peer reaches it, in milliseconds. */
    static final long PEER_REACH_MILLIS = 2_000;

    private final Map<TargetKey, Failure> failures = new HashMap<>();

    /** Time of the last failure, time until which this daemon does not connect to a target, and that backoff. */
    private record Failure(long atMillis, long untilMillis, long backoffMillis) {}

    /**
     * Records that a connection, or the calls on the open ones, failed.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    void recordFailed(TargetKey key, long nowMillis) {
        Failure before = failures.get(key);
        long backoff =
                before == null ? MIN_UNREACHABLE_MILLIS : Math.min(MAX_UNREACHABLE_MILLIS, 2 * before.backoffMillis());
        failures.put(key, new Failure(nowMillis, nowMillis + backoff, backoff));
    }

    /**
     * Records that this daemon reaches a target.
     *
     * @param key the target
     */
    void recordReached(TargetKey key) {
        failures.remove(key);
    }

    /**
     * Returns whether calls may be sent to a target as far as the path is concerned.
     *
     * @param key the target
     * @param peerProgressMillis time of the last progress that a peer has seen there
     * @param nowMillis current monotonic time, in milliseconds
     * @return false during the backoff after a failure and while the path is lost
     */
    boolean isUsable(TargetKey key, long peerProgressMillis, long nowMillis) {
        Failure failure = failures.get(key);
        return failure == null || (nowMillis >= failure.untilMillis() && !isLost(key, peerProgressMillis, nowMillis));
    }

    /**
     * Returns whether the path to a target is lost.
     *
     * @param key the target
     * @param peerProgressMillis time of the last progress that a peer has seen there
     * @param nowMillis current monotonic time, in milliseconds
     * @return true until this daemon reaches the target again, or no peer does
     */
    boolean isLost(TargetKey key, long peerProgressMillis, long nowMillis) {
        Failure failure = failures.get(key);
        return failure != null
                && peerProgressMillis > failure.atMillis()
                && nowMillis - peerProgressMillis <= PEER_REACH_MILLIS;
    }

    /**
     * Removes targets that no longer exist.
     *
     * @param known selects the targets that are still listed
     */
    void retainTargets(Predicate<TargetKey> known) {
        failures.keySet().removeIf(key -> !known.test(key));
    }
}
