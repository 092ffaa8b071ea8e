package io.sesamehead.coordination.drain;

/**
 * Times of a planned stop, from the stop signal to the forced kill. Callers are taken elsewhere first; the calls that
 * are still open shortly before the kill get their last answers while there is time to write them. All times are
 * monotonic, in milliseconds.
 */
public final class StopSchedule {
    /** Time in which the platform takes a stopping daemon out of rotation, in milliseconds: two readiness probes. */
    private static final long ROTATION_DELAY_MILLIS = 2_300;
    /** Time reserved for the exit before the forced kill, in milliseconds; at most this fraction of the grace. */
    private static final long EXIT_MARGIN_MILLIS = 400;

    private static final long MIN_EXIT_MARGINS_PER_GRACE = 16;
    /**
     * Time between the last answers and the forced kill, in milliseconds. It is less than a sixth of the grace, up to
     * which open calls must be left to their upstreams.
     */
    private static final long LAST_ANSWER_MARGIN_MILLIS = 600;

    private static final long MIN_LAST_ANSWER_MARGINS_PER_GRACE = 8;
    /** Time in which an upstream's answer at its deadline arrives, in milliseconds. */
    private static final long UPSTREAM_ANSWER_MILLIS = 100;

    private final long refuseAtMillis;
    private final long lastAnswersAtMillis;
    private final long exitAtMillis;

    /** Phases of a planned stop, in order. */
    public enum Phase {
        /** New calls are accepted, because the platform may still send connections. */
        ACCEPTING,
        /** New calls are refused; open ones go on. */
        REFUSING,
        /** Open calls are answered with what is known of them. */
        ANSWERING,
        /** The process exits. */
        EXITING
    }

    /**
     * Begins a planned stop.
     *
     * @param nowMillis current time
     * @param graceMillis time until the forced kill, in milliseconds
     */
    public StopSchedule(long nowMillis, long graceMillis) {
        long killAtMillis = nowMillis + graceMillis;
        exitAtMillis = killAtMillis - Math.min(EXIT_MARGIN_MILLIS, graceMillis / MIN_EXIT_MARGINS_PER_GRACE);
        lastAnswersAtMillis =
                killAtMillis - Math.min(LAST_ANSWER_MARGIN_MILLIS, graceMillis / MIN_LAST_ANSWER_MARGINS_PER_GRACE);
        refuseAtMillis = Math.min(nowMillis + ROTATION_DELAY_MILLIS, lastAnswersAtMillis);
    }

    /**
     * Returns the phase at a time.
     *
     * @param nowMillis current time
     * @return the phase
     */
    public Phase phase(long nowMillis) {
        if (nowMillis >= exitAtMillis) {
            return Phase.EXITING;
        }
        if (nowMillis >= lastAnswersAtMillis) {
            return Phase.ANSWERING;
        }
        return nowMillis >= refuseAtMillis ? Phase.REFUSING : Phase.ACCEPTING;
    }

    /**
     * Returns whether new calls are refused.
     *
     * @param nowMillis current time
     * @return true from the end of the time in which the platform may send connections
     */
    public boolean isRefusing(long nowMillis) {
        return phase(nowMillis).compareTo(Phase.REFUSING) >= 0;
    }

    /**
     * Returns whether an attempt that begins now can end before the last answers, or ends before them at its deadline.
     *
     * @param nowMillis current time
     * @param deadlineMillis deadline of the call
     * @param expectedMillis estimated time until the end of the attempt, in milliseconds
     * @return true if the attempt may begin
     */
    public boolean allowsAttempt(long nowMillis, long deadlineMillis, long expectedMillis) {
        return nowMillis < lastAnswersAtMillis
                && Math.min(deadlineMillis, nowMillis + expectedMillis) <= lastAnswersAtMillis;
    }

    /**
     * Returns the deadline to state to an upstream, so that its own answer arrives before the last answers.
     *
     * @param deadlineMillis deadline of the call
     * @return the deadline, or an earlier one
     */
    public long upstreamDeadlineMillis(long deadlineMillis) {
        return Math.min(deadlineMillis, lastAnswersAtMillis - UPSTREAM_ANSWER_MILLIS);
    }
}
