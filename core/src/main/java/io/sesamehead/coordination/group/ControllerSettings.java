package io.sesamehead.coordination.group;

/**
 * Timeouts and limits of the controller.
 *
 * @param evidenceMaxAgeMillis maximum age of fresh evidence, in milliseconds
 * @param longestOrderMillis maximum time from sending an order to its effect, in milliseconds
 * @param drainMillis time after which no daemon sends new work to a group that is being released, in milliseconds
 * @param releaseGraceMillis maximum time that a group being released may take to finish its work, in milliseconds
 */
public record ControllerSettings(
        long evidenceMaxAgeMillis, long longestOrderMillis, long drainMillis, long releaseGraceMillis) {
    /** Upper bound of the {@code leaving} invariant, and the longest deadline that most callers use. */
    private static final long DEFAULT_DRAIN_MILLIS = 3_000;

    private static final long DEFAULT_RELEASE_GRACE_MILLIS = 60_000;

    /**
     * Returns settings with the default drain time and release grace period.
     *
     * @param evidenceMaxAgeMillis maximum age of fresh evidence, in milliseconds
     * @param longestOrderMillis maximum time from sending an order to its effect, in milliseconds
     * @return the settings
     */
    public static ControllerSettings of(long evidenceMaxAgeMillis, long longestOrderMillis) {
        return new ControllerSettings(
                evidenceMaxAgeMillis, longestOrderMillis, DEFAULT_DRAIN_MILLIS, DEFAULT_RELEASE_GRACE_MILLIS);
    }
}
