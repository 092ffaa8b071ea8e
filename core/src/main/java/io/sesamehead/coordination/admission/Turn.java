package io.sesamehead.coordination.admission;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;

/**
 * The chances of a late call. Its waiting time, counted from its caller's first try, is divided into turns that differ from
 * call to call. In each turn the call draws one lot, which is the same for all its tries and at all daemons, so that a
 * caller that tries more often has no more chances than the others. A refused caller is told its next turn.
 */
final class Turn {
    /** Time between two turns of a call, in milliseconds. */
    private static final long INTERVAL_MILLIS = 1_200;
    /** Time after the beginning of a turn in which a try counts, in milliseconds: callers return in its first half. */
    private static final long COUNTED_MILLIS = 400;
    /** Time after the beginning of a turn over which its callers are spread, in milliseconds. */
    private static final long SPREAD_MILLIS = 200;
    /**
     * Least time after which a refused caller is asked to return, in milliseconds. A caller that returns after a third of
     * it still counts as one that returns.
     */
    private static final long MIN_RETRY_MILLIS = 310;
    /** Bits of a hash beyond the precision of a double, and the value of the last of the others. */
    private static final int UNUSED_BITS = 11;

    private static final double UNIT = 0x1.0p-53;

    private final long identity;
    private final long firstMillis;
    private final long elapsedMillis;

    private Turn(long identity, long firstMillis, long elapsedMillis) {
        this.identity = identity;
        this.firstMillis = firstMillis;
        this.elapsedMillis = elapsedMillis;
    }

    static Turn of(SlotCall call) {
        long hash = Hashing.murmur3_128().hashLong(call.identity()).asLong();
        return new Turn(call.identity(), MIN_RETRY_MILLIS + Math.floorMod(hash, INTERVAL_MILLIS), call.elapsedMillis());
    }

    /** Returns whether the call has had its first turn. */
    boolean isDue() {
        return elapsedMillis >= firstMillis;
    }

    /** Returns whether this try counts as an arrival: about one in each turn, however often the caller tries. */
    boolean isCounted() {
        return isDue() && (elapsedMillis - firstMillis) % INTERVAL_MILLIS < COUNTED_MILLIS;
    }

    /** Returns whether the call is among a fraction of the calls in this turn. */
    boolean isDrawn(double fraction) {
        HashCode hash = Hashing.murmur3_128()
                .newHasher()
                .putLong(identity)
                .putLong((elapsedMillis - firstMillis) / INTERVAL_MILLIS)
                .hash();
        return isDue() && (hash.asLong() >>> UNUSED_BITS) * UNIT < fraction;
    }

    /**
     * Returns the time after which the caller should return, in milliseconds.
     *
     * @param jitter number from 0 to 1 by which callers of the same turn are spread
     */
    long retryMillis(double jitter) {
        long sinceFirst = Math.max(0, elapsedMillis + MIN_RETRY_MILLIS - firstMillis);
        long turns = (sinceFirst + INTERVAL_MILLIS - 1) / INTERVAL_MILLIS;
        return firstMillis + turns * INTERVAL_MILLIS - elapsedMillis + (long) (jitter * SPREAD_MILLIS);
    }
}
