package io.sesamehead.cli.report;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * Service-level burn of the fleet.
 *
 * @param epochMillis time of the newest sample
 * @param coveredMillis time between the oldest and the newest sample
 * @param respondingDaemons daemons that answered the newest sample
 * @param unresponsiveDaemons daemons that did not
 * @param lines burn by service and client account
 * @param fleet groups and accelerators at the newest sample
 * @param groupDowntimeSeconds seconds, summed over groups, in which an asked group did not serve, by window
 * @param strandedAcceleratorSeconds seconds, summed over accelerators, in which one belonged to no serving group
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
     * @param counters what happened in each window
     * @param burn burn rate of whole answers in each window
     * @param remainingBudget share of the error budget that the longest window leaves, negative when overdrawn
     * @param firstTokenBurn burn rate of late first tokens over one hour
     * @param betweenTokensBurn burn rate of late tokens over one hour
     * @param firstTokenP95Millis largest recent 95th percentile among the daemons
     * @param betweenTokensP95Millis largest recent 95th percentile among the daemons
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
         * Returns the fast burn rate: the smaller of the two short windows, so that a burn that is over counts no more.
         *
         * @return the burn rate
         */
        public double fastBurn() {
            return Math.min(burn.get(BurnWindow.FIVE_MINUTES), burn.get(BurnWindow.ONE_HOUR));
        }

        /**
         * Returns the slow burn rate: the smaller of the two long windows.
         *
         * @return the burn rate
         */
        public double slowBurn() {
            return Math.min(burn.get(BurnWindow.SIX_HOURS), burn.get(BurnWindow.THREE_DAYS));
        }

        /**
         * Returns what an operator should do about the line.
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
