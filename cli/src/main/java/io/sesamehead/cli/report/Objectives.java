package io.sesamehead.cli.report;

/**
 * Service level objectives, as fractions of good events.
 *
 * @param completeAnswers fraction of calls that end with a complete answer
 * @param firstToken fraction of first tokens within 1.3 s
 * @param betweenTokens fraction of gaps between tokens within 50 ms
 */
public record Objectives(double completeAnswers, double firstToken, double betweenTokens) {
    /** Burn rate over one hour that exhausts a 30-day budget in about two days. */
    public static final double FAST_BURN = 14.4;

    /** Burn rate over three days that exhausts a 30-day budget at the end of its period. */
    public static final double SLOW_BURN = 1.0;

    /**
     * Computes a burn rate.
     *
     * @param bad number of bad events
     * @param all number of all events
     * @param objective promised fraction of good events
     * @return the burn rate; 1 exhausts the budget exactly at the end of its period, 0 if there were no events
     */
    public static double burnRate(long bad, long all, double objective) {
        return all == 0 ? 0 : ((double) bad / all) / (1 - objective);
    }
}
