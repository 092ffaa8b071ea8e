package io.sesamehead.entry.protocol;

import io.sesamehead.coordination.admission.PoolArrivalCounts;
import io.sesamehead.coordination.admission.PoolArrivalKey;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.entry.protocol.generated.PoolArrivals;
import java.util.HashMap;
import java.util.Map;

/** Encodes and decodes the calls that arrived lately by pool, rank and account. */
public final class PoolArrivalCodec {
    /** Largest accepted count. Larger ones are damaged. */
    private static final float MAX_CALLS = 1_000_000;
    /** Largest accepted rank. */
    private static final int MAX_RANK = 1_000;

    private PoolArrivalCodec() {}

    /**
     * Adds counts to a report.
     *
     * @param report the report
     * @param counts the counts, with at most {@link PoolArrivalCounts#MAX_ROWS} rows
     */
    public static void encode(DaemonReport.Builder report, PoolArrivalCounts counts) {
        report.setPoolDaemons(counts.counted());
        counts.arrived()
                .forEach((key, arrived) -> report.addPoolArrivals(PoolArrivals.newBuilder()
                        .setPool(key.pool())
                        .setRank(key.rank())
                        .setAccount(key.account())
                        .setReturning(key.returning())
                        .setArrived(arrived.floatValue())));
    }

    /**
     * Decodes the counts of a report. Invalid rows are left out. Daemons of a former build are not counted.
     *
     * @param report the report
     * @return the counts of the daemons for which the report speaks
     */
    public static PoolArrivalCounts decode(DaemonReport report) {
        Map<PoolArrivalKey, Double> arrived = new HashMap<>();
        for (PoolArrivals row : report.getPoolArrivalsList()) {
            boolean valid = row.getArrived() >= 0
                    && row.getArrived() <= MAX_CALLS
                    && row.getRank() >= 0
                    && row.getRank() <= MAX_RANK;
            if (valid && arrived.size() < PoolArrivalCounts.MAX_ROWS) {
                PoolArrivalKey key =
                        new PoolArrivalKey(row.getPool(), row.getRank(), row.getAccount(), row.getReturning());
                arrived.merge(key, (double) row.getArrived(), Double::sum);
            }
        }
        int daemons = Math.max(1, report.getDaemons());
        int counted = Math.max(0, Math.min(daemons, report.getPoolDaemons()));
        return new PoolArrivalCounts(daemons, counted, arrived);
    }
}
