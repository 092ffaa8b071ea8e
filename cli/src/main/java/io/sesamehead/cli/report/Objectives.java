package io.sesamehead.cli.report;

/**
 * Shares of good events that the service levels promise.
 *
 * @param completeAnswers share of calls that end with their whole answer
 * @param firstToken share of first tokens within 1.3 s
 * @param betweenTokens share of times between tokens within 50 ms
 */
public record Objectives(double completeAnswers, double firstToken, double betweenTokens) {
    /** Burn rate over one hour at which a 30-day budget is gone in about two days. */
    public static final double FAST_BURN = 14.4;

    /** Burn rate over three days at which a 30-day budget is just used up. */
    public static final double SLOW_BURN = 1.0;

    /**
     * Computes a burn rate.
     *
     * @param bad bad events
     * @param all all events
     * @param objective share of good events that is promised
     * @return 1 when the budget is used up exactly at the end of its period; 0 without events
     */
    public static double burnRate(long bad, long all, double objective) {
        return all == 0 ? 0 : ((double) bad / all) / (1 - objective);
    }
}
