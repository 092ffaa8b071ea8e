package io.sesamehead.coordination.dispatch;

/**
 * Times without progress from which a target's silence has consequences.
 *
 * @param ownMillis limit for the calls of this daemon alone, in milliseconds
 * @param anywhereMillis limit for the calls of all daemons, in milliseconds
 * @param lostMillis time without progress at any daemon that no sound target takes, in milliseconds
 */
public record SilenceLimits(long ownMillis, long anywhereMillis, long lostMillis) {
    /** Limit for the calls of all daemons at a group, in milliseconds: seven event intervals. */
    static final long STALL_MILLIS = 400;
    /**
     * Limit for the calls of this daemon at a group, in milliseconds: allows for the retransmission of a lost packet.
     */
    private static final long LOCAL_STALL_MILLIS = 1_000;
    /** Both limits at a plain service, which answers in one piece, in milliseconds: above its longest usual run time. */
    private static final long PLAIN_STALL_MILLIS = 1_500;
    /** Multiple of the average event interval that a slow target may take before it is considered stalled. */
    private static final int SLOW_FACTOR = 6;
    /** Maximum stall time granted to a slow target, in milliseconds. */
    private static final long MAX_STALL_MILLIS = 1_500;
    /** Longest silence of a sound target, in milliseconds. */
    static final long MAX_SOUND_SILENCE_MILLIS = 1_500;
    /** Silence after which a target is lost, in milliseconds: above that of a sound target and the age of reports. */
    private static final long LOST_SILENCE_MILLIS = 2_000;
    /** Maximum silence after which a slow target is lost, in milliseconds. */
    private static final long MAX_LOST_SILENCE_MILLIS = 4_000;

    /**
     * Returns the limits of a target.
     *
     * @param group whether the target is a group, which sends events, rather than an upstream of a plain service
     * @param intervalMillis average interval between the target's events or answers, in milliseconds, 0 if unknown
     * @param lagMillis additional age of the peers' reports, in milliseconds
     * @return the limits
     */
    static SilenceLimits of(boolean group, double intervalMillis, long lagMillis) {
        long slowMillis = Math.min(MAX_STALL_MILLIS, (long) (intervalMillis * SLOW_FACTOR));
        long afterSilenceMillis =
                Math.min(MAX_LOST_SILENCE_MILLIS, MAX_SOUND_SILENCE_MILLIS + (long) (2 * intervalMillis));
        return new SilenceLimits(
                Math.max(group ? LOCAL_STALL_MILLIS : PLAIN_STALL_MILLIS, slowMillis),
                lagMillis + Math.max(group ? STALL_MILLIS : PLAIN_STALL_MILLIS, slowMillis),
                lagMillis + Math.max(LOST_SILENCE_MILLIS, afterSilenceMillis));
    }
}
