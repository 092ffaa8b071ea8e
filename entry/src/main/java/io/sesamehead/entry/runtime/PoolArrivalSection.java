package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.admission.PoolArrivalCounts;
import io.sesamehead.coordination.admission.PoolArrivals;
import io.sesamehead.entry.protocol.PoolArrivalCodec;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import java.util.function.Predicate;

/** Exchanges the calls that arrived lately, by pool, rank and account, with the other daemons. */
final class PoolArrivalSection implements ReportSection {
    private final Clocks clocks;
    private final PoolArrivals arrivals;
    private PoolArrivalCounts lastReported = PoolArrivalCounts.NONE;

    PoolArrivalSection(Clocks clocks, PoolArrivals arrivals) {
        this.clocks = clocks;
        this.arrivals = arrivals;
    }

    @Override
    public void addOwn(DaemonReport.Builder report) {
        lastReported = arrivals.ownCounts(clocks.steadyMillis()).largest();
        PoolArrivalCodec.encode(report, lastReported);
    }

    @Override
    public void addSums(DaemonReport.Builder report, Predicate<String> senders) {
        PoolArrivalCodec.encode(
                report, arrivals.aggregate(senders, clocks.steadyMillis()).largest());
    }

    @Override
    public void recordReport(String sender, DaemonReport report) {
        arrivals.replaceReport(sender, PoolArrivalCodec.decode(report), clocks.steadyMillis());
    }

    @Override
    public void recordReportOfAll(String sender, DaemonReport report) {
        PoolArrivalCounts others = PoolArrivalCodec.decode(report).minus(lastReported);
        arrivals.replaceReport(sender, others, clocks.steadyMillis());
    }

    @Override
    public void removeReports(Predicate<String> senders) {
        arrivals.removeReports(senders);
    }
}
