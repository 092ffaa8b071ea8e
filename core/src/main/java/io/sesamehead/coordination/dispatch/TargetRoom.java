package io.sesamehead.coordination.dispatch;

/**
 * Estimates how many calls targets can take. A free slot in a report of some age says little, because other daemons have
 * used it since. What a target completes and how far it is from its intended load hold for longer than a report's age.
 */
public final class TargetRoom {
    /** Load per slot that is aimed at. The rest absorbs calls that arrive at the same moment. */
    private static final double TARGET_LOAD = 0.9;
    /** Time in which a lower load is made up, in milliseconds: twice the age of the reports. */
    private static final double FILL_MILLIS = 600;
    /** Time in which a higher load is reduced, in milliseconds. All calls are late until then. */
    private static final double DRAIN_MILLIS = 300;

    private TargetRoom() {}

    /**
     * Returns the rate at which calls may be sent to a target.
     *
     * @param slots its slots
     * @param inFlight calls in flight there
     * @param runMillis mean run time of its calls, in milliseconds
     * @return calls per millisecond, below 0 if it has far too many
     */
    public static double perMilli(int slots, double inFlight, double runMillis) {
        return perMilli(slots, inFlight, runMillis, TARGET_LOAD);
    }

    /**
     * Returns the rate at which calls may be sent to a target so that its load approaches a given one.
     *
     * @param slots its slots
     * @param inFlight calls in flight there
     * @param runMillis mean run time of its calls, in milliseconds
     * @param load load per slot that is aimed at
     * @return calls per millisecond, below 0 if it has far too many
     */
    public static double perMilli(int slots, double inFlight, double runMillis, double load) {
        double completed = Math.min(slots, inFlight) / Math.max(1, runMillis);
        double missing = load * slots - inFlight;
        return completed + missing / (missing > 0 ? FILL_MILLIS : DRAIN_MILLIS);
    }
}
