package io.sesamehead.coordination.dispatch;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.Map;

/**
 * Upstreams that asked this daemon to stay away for some time. They get nothing until then, and afterwards a share of their
 * places that grows, so that the calls that were held off do not come back together. Not thread-safe.
 */
public final class BusyUpstreams {
    /** Longest time that is believed, in milliseconds: an upstream that wants nothing for longer is as good as gone. */
    public static final long MAX_BUSY_MILLIS = 300_000;
    /** Time over which an upstream's places are used again, in milliseconds: a usual stream ends within it. */
    private static final long RETURN_MILLIS = 1_000;
    /** Upstreams from which on those whose time has passed are forgotten; the design size is 1,000 engines. */
    private static final int MANY = 4_096;

    private final Map<InstanceId, Long> until = new HashMap<>();

    /**
     * Records that an upstream is busy. An earlier, longer time holds.
     *
     * @param upstream the upstream
     * @param millis time for which it wants nothing, in milliseconds
     * @param nowMillis present steady time
     */
    public void recordBusy(InstanceId upstream, long millis, long nowMillis) {
        if (until.size() >= MANY) {
            until.values().removeIf(end -> nowMillis - end > RETURN_MILLIS);
        }
        until.merge(upstream, nowMillis + Math.clamp(millis, 0, MAX_BUSY_MILLIS), Math::max);
    }

    /**
     * Tells whether an upstream wants nothing now.
     *
     * @param upstream the upstream
     * @param nowMillis present steady time
     * @return true until the time that it named has passed
     */
    public boolean isBusy(InstanceId upstream, long nowMillis) {
        return remainingMillis(upstream, nowMillis) > 0;
    }

    /**
     * Returns how long an upstream still wants nothing.
     *
     * @param upstream the upstream
     * @param nowMillis present steady time
     * @return the time, in milliseconds, 0 if it is not busy
     */
    public long remainingMillis(InstanceId upstream, long nowMillis) {
        return Math.max(0, until.getOrDefault(upstream, Long.MIN_VALUE / 2) - nowMillis);
    }

    /**
     * Returns the places of an upstream that may be taken now.
     *
     * @param upstream the upstream
     * @param slots all its places
     * @param nowMillis present steady time
     * @return 0 while it is busy, and at least 1 afterwards
     */
    public int availableSlots(InstanceId upstream, int slots, long nowMillis) {
        Long end = until.get(upstream);
        if (end == null || nowMillis - end >= RETURN_MILLIS) {
            return slots;
        }
        if (nowMillis < end) {
            return 0;
        }
        return Math.max(1, (int) (slots * (nowMillis - end) / RETURN_MILLIS));
    }
}
