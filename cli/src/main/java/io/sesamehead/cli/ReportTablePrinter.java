package io.sesamehead.cli;

import io.sesamehead.cli.report.BurnReport;
import io.sesamehead.cli.report.BurnWindow;
import io.sesamehead.cli.report.FleetCounts;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints a burn report as text tables. */
final class ReportTablePrinter {
    private ReportTablePrinter() {}

    static void print(BurnReport report, Console console) {
        console.print(report.respondingDaemons() + " daemons answered, " + report.unresponsiveDaemons()
                + " did not; samples cover " + report.coveredMillis() / 1000 + " s");
        console.print("");
        burn(report).print(console);
        console.print("");
        latency(report).print(console);
        console.print("");
        FleetCounts fleet = report.fleet();
        if (fleet.equals(FleetCounts.UNKNOWN)) {
            console.print("groups and accelerators are not known; give --platform");
            return;
        }
        console.print(fleet.servingGroups() + " of " + fleet.desiredGroups() + " groups serve; "
                + fleet.strandedAccelerators() + " of " + fleet.accelerators() + " accelerators are stranded");
        totals(report).print(console);
    }

    private static Table burn(BurnReport report) {
        Table table = new Table(
                "SERVICE", "ACCOUNT", "CALLS 3D", "BAD 3D", "BURN 5M", "1H", "6H", "3D", "BUDGET LEFT", "VERDICT");
        for (BurnReport.Line line : report.lines()) {
            List<Object> cells = new ArrayList<>();
            cells.add(line.key().service());
            cells.add(line.key().account());
            cells.add(line.counters().get(BurnWindow.THREE_DAYS).calls());
            cells.add(line.counters().get(BurnWindow.THREE_DAYS).bad());
            for (BurnWindow window : BurnWindow.values()) {
                cells.add(number(line.burn().get(window)));
            }
            cells.add(String.format(Locale.ROOT, "%.0f%%", 100 * line.remainingBudget()));
            cells.add(line.verdict());
            table.row(cells.toArray());
        }
        return table;
    }

    private static Table latency(BurnReport report) {
        Table table =
                new Table("SERVICE", "ACCOUNT", "FIRST TOKEN P95 MS", "BURN 1H", "BETWEEN TOKENS P95 MS", "BURN 1H");
        report.lines().stream()
                .filter(line -> line.counters().get(BurnWindow.THREE_DAYS).firstTokens() > 0)
                .forEach(line -> table.row(
                        line.key().service(),
                        line.key().account(),
                        number(line.firstTokenP95Millis()),
                        number(line.firstTokenBurn()),
                        number(line.betweenTokensP95Millis()),
                        number(line.betweenTokensBurn())));
        return table;
    }

    private static Table totals(BurnReport report) {
        Table table = new Table("WINDOW", "GROUP DOWNTIME S", "STRANDED ACCELERATOR S");
        for (BurnWindow window : BurnWindow.values()) {
            table.row(
                    window.label(),
                    number(report.groupDowntimeSeconds().get(window)),
                    number(report.strandedAcceleratorSeconds().get(window)));
        }
        return table;
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
