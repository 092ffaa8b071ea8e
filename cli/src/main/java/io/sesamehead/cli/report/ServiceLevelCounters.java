package io.sesamehead.cli.report;

/**
 * Counters of one service and client account since the start of a daemon, or the sum or difference of such counters.
 *
 * @param calls calls that count toward the objective; client errors are excluded
 * @param bad those of the calls that did not end with a complete answer
 * @param firstTokens number of first tokens delivered
 * @param lateFirstTokens number of first tokens later than the objective
 * @param gaps number of gaps between consecutive tokens
 * @param lateGaps number of gaps longer than the objective
 */
public record ServiceLevelCounters(
        long calls, long bad, long firstTokens, long lateFirstTokens, long gaps, long lateGaps) {
    /** Counters of zero calls. */
    public static final ServiceLevelCounters NONE = new ServiceLevelCounters(0, 0, 0, 0, 0, 0);

    /**
     * Adds counters.
     *
     * @param other counters of another daemon
     * @return the sum
     */
    public ServiceLevelCounters plus(ServiceLevelCounters other) {
        return new ServiceLevelCounters(
                calls + other.calls,
                bad + other.bad,
                firstTokens + other.firstTokens,
                lateFirstTokens + other.lateFirstTokens,
                gaps + other.gaps,
                lateGaps + other.lateGaps);
    }

    /**
     * Subtracts earlier counters of the same daemon.
     *
     * @param earlier the earlier counters
     * @return the increase in between
     */
    public ServiceLevelCounters minus(ServiceLevelCounters earlier) {
        return new ServiceLevelCounters(
                calls - earlier.calls,
                bad - earlier.bad,
                firstTokens - earlier.firstTokens,
                lateFirstTokens - earlier.lateFirstTokens,
                gaps - earlier.gaps,
                lateGaps - earlier.lateGaps);
    }
}
