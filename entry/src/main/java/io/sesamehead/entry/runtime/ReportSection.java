package io.sesamehead.entry.runtime;

import io.sesamehead.entry.protocol.generated.DaemonReport;
import java.util.function.Predicate;

/** A part of the reports that daemons exchange: counts that each daemon states and that relays sum up. */
interface ReportSection {
    /** Adds what this daemon states to its report. */
    void addOwn(DaemonReport.Builder report);

    /** Adds the sums of this daemon and of selected senders to a report. */
    void addSums(DaemonReport.Builder report, Predicate<String> senders);

    /** Replaces what a sender has stated for the daemons that its report covers. */
    void recordReport(String sender, DaemonReport report);

    /** Replaces the sums over all daemons, of which this one is part. */
    void recordReportOfAll(String sender, DaemonReport report);

    /** Removes the statements of selected senders. */
    void removeReports(Predicate<String> senders);
}
