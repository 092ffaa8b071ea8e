package io.sesamehead.entry.protocol;

import io.sesamehead.coordination.dispatch.OriginUsage;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.entry.protocol.generated.OriginLoad;
import io.sesamehead.state.FailureDomain;
import java.util.HashMap;
import java.util.Map;

/** Encodes and decodes the calls in flight by origin in the reports that daemons exchange. */
public final class OriginCodec {
    /** Largest number of rows in a report. A datagram holds them together with the other parts. */
    private static final int MAX_ROWS = 128;
    /** Largest number of calls or daemons that is taken from a report. Sums stay in the range of an int. */
    private static final int MAX_COUNT = 1_000_000;

    private OriginCodec() {}

    /**
     * Adds the calls in flight by origin to a report. If there are too many, the daemons count as not included, because a
     * missing row would pass for a domain without calls.
     *
     * @param report the report being built
     * @param usage calls in flight of the daemons for which the report speaks
     */
    public static void encode(DaemonReport.Builder report, OriginUsage usage) {
        if (usage.inFlight().size() > MAX_ROWS) {
            return;
        }
        report.setPoolDaemons(usage.stating());
        usage.inFlight()
                .forEach((origin, calls) -> report.addOrigins(OriginLoad.newBuilder()
                        .setFailureDomain(origin.failureDomain().value())
                        .setPool(origin.pool())
                        .setInFlight(calls)));
    }

    /**
     * Decodes the calls in flight by origin. If any row is invalid, the daemons count as not included.
     *
     * @param report the report
     * @return calls in flight of the daemons for which the report speaks
     */
    public static OriginUsage decode(DaemonReport report) {
        int daemons = Math.max(1, report.getDaemons());
        Map<OriginUsage.Origin, Integer> rows = new HashMap<>();
        for (OriginLoad row : report.getOriginsList()) {
            if (row.getFailureDomain().isBlank() || !isCount(row.getInFlight()) || rows.size() >= MAX_ROWS) {
                return new OriginUsage(daemons, 0, Map.of());
            }
            rows.merge(
                    new OriginUsage.Origin(new FailureDomain(row.getFailureDomain()), row.getPool()),
                    row.getInFlight(),
                    Integer::sum);
        }
        boolean stated = !rows.isEmpty() && isCount(report.getPoolDaemons());
        return new OriginUsage(daemons, stated ? report.getPoolDaemons() : 0, rows);
    }

    private static boolean isCount(int value) {
        return value >= 0 && value <= MAX_COUNT;
    }
}
