package io.sesamehead.coordination.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the room of a pool among the calls that arrive for it: first among first tries and returning calls, then by rank,
 * then by account. Immutable.
 */
final class SlotDivision {
    /**
     * Part of the room that returning calls have at least. They are late already, but a caller must not be refused for
     * ever.
     */
    private static final double MIN_RETURNING_PART = 0.1;
    /**
     * Part of a rank's proportional room that it has at least. Every rank must be served at least half as often as all
     * calls together; the rest allows for calls that the dispatcher refuses.
     */
    private static final double RANK_FLOOR = 0.6;
    /** Part of an account's proportional room within its rank that it has at least. */
    private static final double ACCOUNT_FLOOR = 0.5;

    private final Map<PoolArrivalKey, Double> fractions;
    private final double totalPerSecond;
    private final double admittedPerSecond;

    private SlotDivision(Map<PoolArrivalKey, Double> fractions, double totalPerSecond, double admittedPerSecond) {
        this.fractions = fractions;
        this.totalPerSecond = totalPerSecond;
        this.admittedPerSecond = admittedPerSecond;
    }

    /** Returns the least room in which all first tries have a place. */
    static double roomForFirstTries(Map<PoolArrivalKey, Double> arrivals) {
        return total(arrivals, false) / (1 - MIN_RETURNING_PART);
    }

    /**
     * Divides the room.
     *
     * @param arrivals calls per second of one pool
     * @param roomPerSecond calls per second that the pool can take
     * @param quietRoomPerSecond calls per second that it can take without delay for first tries
     */
    static SlotDivision of(Map<PoolArrivalKey, Double> arrivals, double roomPerSecond, double quietRoomPerSecond) {
        double first = total(arrivals, false);
        double returning = total(arrivals, true);
        double firstRoom = Math.min(first, roomPerSecond - Math.min(returning, MIN_RETURNING_PART * roomPerSecond));
        double returningRoom =
                Math.max(MIN_RETURNING_PART * roomPerSecond, Math.min(roomPerSecond, quietRoomPerSecond) - firstRoom);
        Map<PoolArrivalKey, Double> fractions = new HashMap<>();
        divideAmongRanks(arrivals, false, first, firstRoom, fractions);
        divideAmongRanks(arrivals, true, returning, returningRoom, fractions);
        return new SlotDivision(fractions, first + returning, firstRoom + Math.min(returning, returningRoom));
    }

    /**
     * Returns the fraction of such calls to admit. An account that is in no report has too few first tries to matter;
     * returning calls are in no report when the first of them return, and then there are many.
     */
    double fraction(PoolArrivalKey key) {
        Double fraction = fractions.get(key);
        if (fraction != null) {
            return fraction;
        }
        double unlisted = key.returning() && totalPerSecond > admittedPerSecond ? MIN_RETURNING_PART : 1;
        return fractions.getOrDefault(key.ofOtherAccounts(), unlisted);
    }

    /** Returns the fraction of all calls, returning or not, that is admitted. */
    double meanFraction() {
        return totalPerSecond <= 0 ? 1 : Math.min(1, admittedPerSecond / totalPerSecond);
    }

    private static double total(Map<PoolArrivalKey, Double> arrivals, boolean returning) {
        double total = 0;
        for (Map.Entry<PoolArrivalKey, Double> row : arrivals.entrySet()) {
            total += row.getKey().returning() == returning ? row.getValue() : 0;
        }
        return total;
    }

    private static void divideAmongRanks(
            Map<PoolArrivalKey, Double> arrivals,
            boolean returning,
            double total,
            double room,
            Map<PoolArrivalKey, Double> fractions) {
        TreeMap<Integer, List<PoolArrivalKey>> ranks = new TreeMap<>();
        for (PoolArrivalKey key : arrivals.keySet()) {
            if (key.returning() == returning) {
                ranks.computeIfAbsent(key.rank(), rank -> new ArrayList<>()).add(key);
            }
        }
        double floorFraction = total <= 0 ? 1 : Math.min(1, RANK_FLOOR * room / total);
        double left = room - floorFraction * total;
        for (List<PoolArrivalKey> rank : ranks.values()) {
            double demand = rank.stream().mapToDouble(arrivals::get).sum();
            double more = Math.max(0, Math.min(left, (1 - floorFraction) * demand));
            left -= more;
            divideAmongAccounts(arrivals, rank, demand, floorFraction * demand + more, fractions);
        }
    }

    private static void divideAmongAccounts(
            Map<PoolArrivalKey, Double> arrivals,
            List<PoolArrivalKey> accounts,
            double demand,
            double room,
            Map<PoolArrivalKey, Double> fractions) {
        double[] demands = accounts.stream().mapToDouble(arrivals::get).toArray();
        double meanFraction = demand <= 0 ? 0 : Math.min(1, room / demand);
        double[] floors = new double[demands.length];
        for (int i = 0; i < demands.length; i++) {
            // The number of accounts in this row is unknown, so that they get what the rank gets on average.
            boolean others = accounts.get(i).account() == PoolArrivalKey.OTHER_ACCOUNTS;
            floors[i] = (others ? 1 : ACCOUNT_FLOOR) * meanFraction * demands[i];
        }
        double[] shares = MaxMinShares.divide(demands, floors, room);
        for (int i = 0; i < shares.length; i++) {
            fractions.put(accounts.get(i), demands[i] <= 0 ? 1 : Math.min(1, shares[i] / demands[i]));
        }
    }
}
