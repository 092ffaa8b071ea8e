package io.sesamehead.coordination.dispatch;

/**
 * Calls of one daemon, or the sum over several daemons, at one target.
 *
 * @param key the target
 * @param inFlight number of calls in flight
 * @param silentMillis time since the target last sent an event or answer to any of the daemons, in milliseconds,
 *     {@link #NO_PROGRESS_MILLIS} or more if it has sent none
 * @param suspected whether any of the daemons suspects that the target has stalled
 */
public record TargetReport(TargetKey key, int inFlight, long silentMillis, boolean suspected) {
    /** Silence of a target that has not sent anything, in milliseconds. */
    static final long NO_PROGRESS_MILLIS = Integer.MAX_VALUE;

    /** Returns the report as of a later time, assuming no further progress. */
    TargetReport aged(long millis) {
        return new TargetReport(key, inFlight, silentMillis + millis, suspected);
    }

    /** Returns the sum of this report and that of another daemon on the same target. */
    TargetReport plus(TargetReport other) {
        return new TargetReport(
                key,
                inFlight + other.inFlight,
                Math.min(silentMillis, other.silentMillis),
                suspected || other.suspected);
    }

    /**
     * Subtracts this daemon's own calls from a sum that includes them.
     *
     * @param ownInFlight number of calls in flight that this daemon last reported
     * @return the report of the other daemons
     */
    public TargetReport minusInFlight(int ownInFlight) {
        return new TargetReport(key, Math.max(0, inFlight - ownInFlight), silentMillis, suspected);
    }
}
