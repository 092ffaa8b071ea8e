package io.sesamehead.coordination.dispatch;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.Map;

/**
 * Upstreams that asked this daemon to back off. A busy upstream receives no calls until its backoff ends; its available
 * slots then ramp up, so that the calls that were held back do not all return at once. Not thread-safe.
 */
public final class BusyUpstreams {
    /** Maximum backoff, in milliseconds: an upstream that asks for more is effectively unavailable. */
    public static final long MAX_BUSY_MILLIS = 300_000;
    /** Time over which the slots ramp up after the backoff, in milliseconds: a typical stream ends within it. */
    private static final long RAMP_UP_MILLIS = 1_000;
    /** Number of entries from which expired ones are evicted. The system is designed for 1,000 engines. */
    private static final int EVICTION_THRESHOLD = 4_096;

    private final Map<InstanceId, Long> busyUntil = new HashMap<>();

    /**
     * Records that an upstream is busy. An earlier backoff that ends later stays in force.
     *
     * @param upstream the upstream
     * @param millis requested backoff, in milliseconds, capped at {@link #MAX_BUSY_MILLIS}
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordBusy(InstanceId upstream, long millis, long nowMillis) {
        if (busyUntil.size() >= EVICTION_THRESHOLD) {
            busyUntil.values().removeIf(end -> nowMillis - end > RAMP_UP_MILLIS);
        }
        busyUntil.merge(upstream, nowMillis + Math.clamp(millis, 0, MAX_BUSY_MILLIS), Math::max);
    }

    /**
     * Returns whether an upstream is busy.
     *
     * @param upstream the upstream
     * @param nowMillis current monotonic time, in milliseconds
     * @return true until its backoff has ended
     */
    public boolean isBusy(InstanceId upstream, long nowMillis) {
        return remainingMillis(upstream, nowMillis) > 0;
    }

    /**
     * Returns the remaining backoff of an upstream.
     *
     * @param upstream the upstream
     * @param nowMillis current monotonic time, in milliseconds
     * @return the remaining backoff in milliseconds, 0 if the upstream is not busy
     */
    public long remainingMillis(InstanceId upstream, long nowMillis) {
        return Math.max(0, busyUntil.getOrDefault(upstream, Long.MIN_VALUE / 2) - nowMillis);
    }

    /**
     * Returns the number of slots of an upstream that this daemon may use now.
     *
     * @param upstream the upstream
     * @param slots total number of its slots
     * @param nowMillis current monotonic time, in milliseconds
     * @return 0 while the upstream is busy, at least 1 afterwards
     */
    public int availableSlots(InstanceId upstream, int slots, long nowMillis) {
        Long end = busyUntil.get(upstream);
        if (end == null || nowMillis - end >= RAMP_UP_MILLIS) {
            return slots;
        }
        if (nowMillis < end) {
            return 0;
        }
        return Math.max(1, (int) (slots * (nowMillis - end) / RAMP_UP_MILLIS));
    }
}
