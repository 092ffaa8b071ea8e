package io.sesamehead.cli.report;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * Error budget burn of the fleet.
 *
 * @param epochMillis time of the newest sample
 * @param coveredMillis time between the oldest and the newest sample
 * @param respondingDaemons number of daemons that responded to the newest sample
 * @param unresponsiveDaemons number of daemons that did not
 * @param lines burn of each service and client account
 * @param fleet groups and accelerators at the newest sample
 * @param groupDowntimeSeconds seconds in each window in which a desired group did not serve, summed over the groups
 * @param strandedAcceleratorSeconds seconds in each window in which an accelerator belonged to no serving group, summed
 *     over the accelerators
 */
public record BurnReport(
        long epochMillis,
        long coveredMillis,
        int respondingDaemons,
        int unresponsiveDaemons,
        ImmutableList<Line> lines,
        FleetCounts fleet,
        ImmutableMap<BurnWindow, Double> groupDowntimeSeconds,
        ImmutableMap<BurnWindow, Double> strandedAcceleratorSeconds) {
    /**
     * Burn of one service and client account.
     *
     * @param key service and account
     * @param counters counter increases in each window
     * @param burn burn rate of the objective for complete answers in each window
     * @param remainingBudget fraction of the error budget that remains after the longest window; negative when
     *     overspent
     * @param firstTokenBurn burn rate of the first token objective over one hour
     * @param betweenTokensBurn burn rate of the objective for the time between tokens over one hour
     * @param firstTokenP95Millis highest recent 95th percentile of any daemon for the time to the first token, in
     *     milliseconds
     * @param betweenTokensP95Millis highest recent 95th percentile of any daemon for the time between tokens, in
     *     milliseconds
     */
    public record Line(
            ServiceLevelKey key,
            ImmutableMap<BurnWindow, ServiceLevelCounters> counters,
            ImmutableMap<BurnWindow, Double> burn,
            double remainingBudget,
            double firstTokenBurn,
            double betweenTokensBurn,
            double firstTokenP95Millis,
            double betweenTokensP95Millis) {
        /**
         * Returns the fast burn rate: the smaller rate of the two short windows, so that a burn that has ended no
         * longer counts.
         *
         * @return the burn rate
         */
        public double fastBurn() {
            return Math.min(burn.get(BurnWindow.FIVE_MINUTES), burn.get(BurnWindow.ONE_HOUR));
        }

        /**
         * Returns the slow burn rate: the smaller rate of the two long windows.
         *
         * @return the burn rate
         */
        public double slowBurn() {
            return Math.min(burn.get(BurnWindow.SIX_HOURS), burn.get(BurnWindow.THREE_DAYS));
        }

        /**
         * Returns whether the line requires attention from an operator.
         *
         * @return {@code fast burn}, {@code slow burn} or {@code ok}
         */
        public String verdict() {
            if (fastBurn() >= Objectives.FAST_BURN) {
                return "fast burn";
            }
            return slowBurn() > Objectives.SLOW_BURN ? "slow burn" : "ok";
        }
    }
}
