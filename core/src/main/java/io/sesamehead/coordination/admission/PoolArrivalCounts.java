package io.sesamehead.coordination.admission;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Calls that arrived lately at one daemon or several, as counts that decay.
 *
 * @param daemons number of daemons that the report covers
 * @param counted number of those daemons whose arrivals are included; former builds state none
 * @param arrived decayed count of calls by pool, rank, account and whether they returned
 */
public record PoolArrivalCounts(int daemons, int counted, Map<PoolArrivalKey, Double> arrived) {
    /** Counts of no daemon. */
    public static final PoolArrivalCounts NONE = new PoolArrivalCounts(0, 0, Map.of());

    /** Maximum number of rows in a report. With the loads of all targets they fit into one datagram. */
    public static final int MAX_ROWS = 120;

    /** Copies the map. Its order is the same in every process, so that simulations repeat. */
    public PoolArrivalCounts {
        arrived = Collections.unmodifiableMap(new HashMap<>(arrived));
    }

    /**
     * Returns the sum of two counts.
     *
     * @param other counts of other daemons
     * @return the sum
     */
    public PoolArrivalCounts plus(PoolArrivalCounts other) {
        return new PoolArrivalCounts(daemons + other.daemons, counted + other.counted, sum(other, 1));
    }

    /**
     * Returns the counts of the other daemons in a sum.
     *
     * @param part counts of daemons that the sum includes
     * @return the sum without them
     */
    public PoolArrivalCounts minus(PoolArrivalCounts part) {
        return new PoolArrivalCounts(
                Math.max(0, daemons - part.daemons), Math.max(0, counted - part.counted), sum(part, -1));
    }

    /**
     * Returns the counts with at most {@link #MAX_ROWS} rows.
     *
     * @return the largest rows, and for the others one row for each pool, rank and whether the calls returned
     */
    public PoolArrivalCounts largest() {
        if (arrived.size() <= MAX_ROWS) {
            return this;
        }
        List<Map.Entry<PoolArrivalKey, Double>> sorted = arrived.entrySet().stream()
                .sorted(Map.Entry.<PoolArrivalKey, Double>comparingByValue(Comparator.reverseOrder()))
                .toList();
        Set<PoolArrivalKey> others = new HashSet<>();
        arrived.keySet().forEach(key -> others.add(key.ofOtherAccounts()));
        int listed = Math.max(0, MAX_ROWS - others.size());
        Map<PoolArrivalKey, Double> rows = new HashMap<>();
        for (int i = 0; i < sorted.size(); i++) {
            PoolArrivalKey key = sorted.get(i).getKey();
            PoolArrivalKey row = i < listed ? key : key.ofOtherAccounts();
            if (rows.containsKey(row) || rows.size() < MAX_ROWS) {
                rows.merge(row, sorted.get(i).getValue(), Double::sum);
            }
        }
        return new PoolArrivalCounts(daemons, counted, rows);
    }

    private Map<PoolArrivalKey, Double> sum(PoolArrivalCounts other, int sign) {
        Map<PoolArrivalKey, Double> sums = new HashMap<>(arrived);
        other.arrived.forEach((key, count) -> sums.merge(key, sign * count, Double::sum));
        sums.values().removeIf(count -> count <= 0);
        return sums;
    }
}
