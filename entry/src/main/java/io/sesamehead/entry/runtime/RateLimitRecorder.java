package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.RateLimitShares;
import io.sesamehead.coordination.dispatch.RateLimitUsage;
import io.sesamehead.coordination.dispatch.StatedRateLimit;
import io.sesamehead.coordination.dispatch.StatedRateLimits;
import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.protocol.ReportCodec;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import java.util.function.Predicate;

/** Records and logs the rate limits that upstreams state, and exchanges them and their usage with the other daemons. */
final class RateLimitRecorder implements ReportSection {
    private final Clocks clocks;
    private final StatedRateLimits limits;
    private final RateLimitShares shares;
    private final EventLog log;
    private RateLimitUsage lastReported = RateLimitUsage.NONE;

    RateLimitRecorder(Clocks clocks, StatedRateLimits limits, RateLimitShares shares, EventLog log) {
        this.clocks = clocks;
        this.limits = limits;
        this.shares = shares;
        this.log = log;
    }

    /**
     * Records what a response of an upstream states.
     *
     * @return whether the limit has begun, changed or ended
     */
    boolean recordFromUpstream(UpstreamEntry upstream, StatedRateLimit stated) {
        if (stated instanceof StatedRateLimit.Unreadable unreadable) {
            log.write(
                    EventLog.Component.GROUP,
                    "unreadable-limit",
                    "upstream",
                    upstream.id(),
                    "stated",
                    unreadable.text());
        }
        boolean changed = limits.record(upstream.incarnation(), stated, clocks.bootMillis());
        if (changed) {
            logChange(upstream.incarnation(), "its answer");
        }
        return changed;
    }

    /** Merges the limits that another daemon reports. */
    void mergeLimits(DaemonReport report) {
        for (StatedRateLimits.Report row : ReportCodec.decodeRateLimits(report)) {
            if (limits.merge(row, clocks.bootMillis())) {
                logChange(row.upstream(), report.getDaemon());
            }
        }
    }

    @Override
    public void recordReport(String sender, DaemonReport report) {
        shares.replaceReport(sender, ReportCodec.decodeRateLimitUsage(report), clocks.steadyMillis());
    }

    @Override
    public void recordReportOfAll(String sender, DaemonReport report) {
        RateLimitUsage others = ReportCodec.decodeRateLimitUsage(report).minus(lastReported);
        shares.replaceReport(sender, others, clocks.steadyMillis());
    }

    @Override
    public void removeReports(Predicate<String> senders) {
        shares.removeReports(senders);
    }

    @Override
    public void addOwn(DaemonReport.Builder report) {
        lastReported = shares.ownUsage(clocks.steadyMillis());
        ReportCodec.encodeRateLimits(report, limits.reports(clocks.bootMillis()), lastReported);
    }

    @Override
    public void addSums(DaemonReport.Builder report, Predicate<String> senders) {
        RateLimitUsage sums = shares.aggregate(senders, clocks.steadyMillis());
        ReportCodec.encodeRateLimits(report, limits.reports(clocks.bootMillis()), sums);
    }

    /** Adds the limits alone. */
    void addLimits(DaemonReport.Builder report) {
        ReportCodec.encodeRateLimits(report, limits.reports(clocks.bootMillis()), RateLimitUsage.NONE);
    }

    /** Removes what has expired or belongs to upstreams that are gone. */
    void expire(Predicate<UpstreamIncarnation> listed, int listedDaemons) {
        limits.evict(listed, clocks.bootMillis());
        shares.listedDaemons(listedDaemons);
        shares.expire(clocks.steadyMillis());
    }

    private void logChange(UpstreamIncarnation upstream, String source) {
        String limit = limits.limit(upstream).stream()
                .mapToObj(Double::toString)
                .findFirst()
                .orElse("none");
        log.write(
                EventLog.Component.GROUP,
                "rate-limit",
                "upstream",
                upstream.upstream(),
                "per_second",
                limit,
                "from",
                source);
    }
}
