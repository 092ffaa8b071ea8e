package io.sesamehead.coordination.dispatch;

/**
 * Calls of one daemon, or of several together, at one target.
 *
 * @param key the target
 * @param inFlight calls sent and not ended
 * @param silentMillis time since the target last sent an event or answer to any of them, in milliseconds
 * @param suspected whether one of them believes that the target has stopped
 */
public record TargetReport(TargetKey key, int inFlight, long silentMillis, boolean suspected) {
    /** Returns the row as it is some time later, without news. */
    TargetReport aged(long millis) {
        return new TargetReport(key, inFlight, silentMillis + millis, suspected);
    }

    /** Adds the calls of another daemon at the same target. */
    TargetReport plus(TargetReport other) {
        return new TargetReport(
                key,
                inFlight + other.inFlight,
                Math.min(silentMillis, other.silentMillis),
                suspected || other.suspected);
    }

    /**
     * Takes this daemon's own part out of a sum that includes it.
     *
     * @param ownInFlight calls in flight as this daemon last reported them
     * @return the others' part
     */
    public TargetReport minusInFlight(int ownInFlight) {
        return new TargetReport(key, Math.max(0, inFlight - ownInFlight), silentMillis, suspected);
    }
}
