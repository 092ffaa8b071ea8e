package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.CrashReport;
import io.sesamehead.coordination.dispatch.PromptPartCrashes;
import io.sesamehead.entry.protocol.ReportCodec;
import io.sesamehead.entry.protocol.generated.DaemonReport;

/** Exchanges what daemons know of crashes in their reports. Confined to the event loop. */
final class CrashExchange {
    private final Clocks clocks;
    private final CrashHistory history;
    private final PromptPartCrashes partCrashes;
    private final EventLog log;

    CrashExchange(Clocks clocks, CrashHistory history, PromptPartCrashes partCrashes, EventLog log) {
        this.clocks = clocks;
        this.history = history;
        this.partCrashes = partCrashes;
        this.log = log;
    }

    /** Adds what the other daemons should know next. */
    void addTo(DaemonReport.Builder report) {
        history.nextReport(clocks.steadyMillis()).forEach(row -> report.addCrashed(ReportCodec.encodeCrash(row)));
    }

    /** Merges the crashes of a report, which count regardless of the order in which reports arrive. */
    void merge(DaemonReport report) {
        long now = clocks.steadyMillis();
        for (CrashReport row : ReportCodec.decodeCrashes(report)) {
            int before = history.crashCount(row.subject(), now);
            if (partCrashes.merge(row, now)) {
                int after = history.crashCount(row.subject(), now);
                log.write(
                        EventLog.Component.PEER,
                        after < before ? "crash-refuted-heard" : "crash-heard",
                        "request",
                        row.subject(),
                        "crashes",
                        after,
                        "from",
                        report.getDaemon());
            }
        }
    }
}
