package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.DomainChoice;
import io.sesamehead.coordination.dispatch.OriginLoads;
import io.sesamehead.coordination.dispatch.OriginUsage;
import io.sesamehead.coordination.dispatch.SplitDomainChoice;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetPool;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.dispatch.UpstreamCapacity;
import io.sesamehead.entry.protocol.OriginCodec;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.state.FailureDomain;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/** Exchanges the calls in flight by the failure domain of the daemons that took them from their callers. */
final class OriginReports implements ReportSection {
    private static final double HUNDREDTHS = 100;

    private final Clocks clocks;
    private final FailureDomain localDomain;
    private final Fleet fleet;
    private final TargetTable table;
    private final EventLog log;
    private final OriginLoads loads = new OriginLoads();
    private OriginUsage lastReported = OriginUsage.NONE;

    OriginReports(Clocks clocks, FailureDomain localDomain, Fleet fleet, TargetTable table, EventLog log) {
        this.clocks = clocks;
        this.localDomain = localDomain;
        this.fleet = fleet;
        this.table = table;
        this.log = log;
    }

    /**
     * Creates the choice of failure domains by what is reported.
     *
     * @param byteMillis delay that is accepted to keep the bytes of a pool's call in its failure domain, in milliseconds
     */
    DomainChoice choice(UpstreamCapacity capacity, ToDoubleFunction<TargetPool> byteMillis, RandomGenerator random) {
        return new SplitDomainChoice(
                localDomain,
                table,
                capacity,
                loads,
                pool -> fleet.targets(pool.service(), pool.model()),
                byteMillis,
                this::logSplit,
                random);
    }

    @Override
    public void addOwn(DaemonReport.Builder report) {
        lastReported = ownUsage();
        OriginCodec.encode(report, lastReported);
    }

    @Override
    public void addSums(DaemonReport.Builder report, Predicate<String> senders) {
        OriginCodec.encode(report, loads.aggregate(ownUsage(), senders));
    }

    @Override
    public void recordReport(String sender, DaemonReport report) {
        loads.replaceReport(sender, OriginCodec.decode(report), clocks.steadyMillis());
    }

    @Override
    public void recordReportOfAll(String sender, DaemonReport report) {
        OriginUsage others = OriginCodec.decode(report).minus(lastReported);
        loads.replaceReport(sender, others, clocks.steadyMillis());
    }

    @Override
    public void removeReports(Predicate<String> senders) {
        loads.removeReports(senders);
    }

    /** Removes expired reports. */
    void expire() {
        loads.expire(clocks.steadyMillis());
    }

    private OriginUsage ownUsage() {
        Map<Integer, Integer> inFlight = new HashMap<>();
        for (Target target : fleet.servingTargets()) {
            int calls = table.ownInFlight(target.key());
            if (calls > 0) {
                inFlight.merge(TargetPool.of(target).hash(), calls, Integer::sum);
            }
        }
        return OriginUsage.ofDaemon(localDomain, inFlight);
    }

    private void logSplit(TargetPool pool, double homeFraction, double level) {
        log.write(
                EventLog.Component.DOMAIN,
                "split",
                "pool",
                pool,
                "home_fraction",
                twoDecimals(homeFraction),
                "level",
                twoDecimals(level));
    }

    private static double twoDecimals(double value) {
        return Math.rint(value * HUNDREDTHS) / HUNDREDTHS;
    }
}
