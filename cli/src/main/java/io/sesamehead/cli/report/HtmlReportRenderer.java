package io.sesamehead.cli.report;

import com.google.common.collect.ImmutableList;
import com.google.common.html.HtmlEscapers;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Date;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Renders a burn report as a self-contained HTML page; the plots are embedded as data URIs. */
public final class HtmlReportRenderer {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 360;
    /** Bar charts with more lines are unreadable; the table shows all lines. */
    private static final int MAX_PLOTTED_LINES = 20;

    private HtmlReportRenderer() {}

    /**
     * Renders the HTML page.
     *
     * @param report the report
     * @param samples the samples that the report was computed from
     * @return the HTML text
     * @throws IOException if a plot cannot be encoded
     */
    public static String render(BurnReport report, List<Sample> samples) throws IOException {
        StringBuilder page = new StringBuilder();
        page.append(
                        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>")
                .append("<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}")
                .append("td,th{border:1px solid #bbb;padding:.3em .6em;text-align:right}")
                .append("td:first-child,td:nth-child(2){text-align:left}.burn{background:#fdd}</style></head><body>\n")
                .append("<h1>Service-level burn</h1>\n<p>")
                .append(Instant.ofEpochMilli(report.epochMillis()))
                .append("; ")
                .append(report.respondingDaemons())
                .append(" daemons answered, ")
                .append(report.unresponsiveDaemons())
                .append(" did not; samples cover ")
                .append(report.coveredMillis() / 1000)
                .append(" s.</p>\n");
        levels(report, page);
        fleet(report, page);
        if (!report.lines().isEmpty()) {
            image(burnChart(report), "Burn rate by window", page);
            image(latencyChart(report), "95th percentiles", page);
        }
        image(fleetChart(samples), "Missing groups and stranded accelerators", page);
        return page.append("</body></html>\n").toString();
    }

    private static void levels(BurnReport report, StringBuilder page) {
        page.append("<table><tr><th>Service</th><th>Account</th><th>Calls</th><th>Bad</th>");
        for (BurnWindow window : BurnWindow.values()) {
            page.append("<th>Burn ").append(window.label()).append("</th>");
        }
        page.append("<th>Budget left</th><th>First token p95 ms</th><th>Between tokens p95 ms</th>")
                .append("<th>Verdict</th></tr>\n");
        for (BurnReport.Line line : report.lines()) {
            List<String> cells = new ArrayList<>();
            cells.add(line.key().service());
            cells.add(line.key().account());
            ServiceLevelCounters threeDays = line.counters().get(BurnWindow.THREE_DAYS);
            cells.add(Long.toString(threeDays.calls()));
            cells.add(Long.toString(threeDays.bad()));
            line.burn().values().forEach(rate -> cells.add(number(rate)));
            cells.add(number(100 * line.remainingBudget()) + "%");
            cells.add(number(line.firstTokenP95Millis()));
            cells.add(number(line.betweenTokensP95Millis()));
            cells.add(line.verdict());
            page.append(line.verdict().equals("ok") ? "<tr>" : "<tr class=\"burn\">");
            cells.forEach(cell -> page.append("<td>").append(escape(cell)).append("</td>"));
            page.append("</tr>\n");
        }
        page.append("</table>\n");
    }

    private static void fleet(BurnReport report, StringBuilder page) {
        page.append("<h2>Groups and accelerators</h2>\n<p>")
                .append(report.fleet().servingGroups())
                .append(" of ")
                .append(report.fleet().desiredGroups())
                .append(" groups serve; ")
                .append(report.fleet().strandedAccelerators())
                .append(" of ")
                .append(report.fleet().accelerators())
                .append(" accelerators are stranded.</p>\n")
                .append("<table><tr><th>Window</th><th>Group downtime s</th><th>Stranded accelerator s</th></tr>\n");
        for (BurnWindow window : BurnWindow.values()) {
            page.append("<tr><td>")
                    .append(window.label())
                    .append("</td><td>")
                    .append(number(report.groupDowntimeSeconds().get(window)))
                    .append("</td><td>")
                    .append(number(report.strandedAcceleratorSeconds().get(window)))
                    .append("</td></tr>\n");
        }
        page.append("</table>\n");
    }

    private static CategoryChart burnChart(BurnReport report) {
        CategoryChart chart = categoryChart("Burn rate of whole answers", "burn rate");
        List<String> names = names(report);
        for (BurnWindow window : BurnWindow.values()) {
            chart.addSeries(
                    window.label(), names, values(report, line -> line.burn().get(window)));
        }
        return chart;
    }

    private static CategoryChart latencyChart(BurnReport report) {
        CategoryChart chart = categoryChart("Recent 95th percentiles", "ms");
        List<String> names = names(report);
        chart.addSeries("first token", names, values(report, BurnReport.Line::firstTokenP95Millis));
        chart.addSeries("between tokens", names, values(report, BurnReport.Line::betweenTokensP95Millis));
        return chart;
    }

    private static XYChart fleetChart(List<Sample> samples) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Missing groups and stranded accelerators")
                .yAxisTitle("count")
                .theme(Styler.ChartTheme.XChart)
                .build();
        chart.getStyler().setDefaultSeriesRenderStyle(org.knowm.xchart.XYSeries.XYSeriesRenderStyle.Step);
        List<Date> times =
                samples.stream().map(sample -> new Date(sample.epochMillis())).toList();
        chart.addSeries(
                        "missing groups",
                        times,
                        samples.stream()
                                .map(sample -> sample.fleet().missingGroups())
                                .toList())
                .setMarker(SeriesMarkers.CIRCLE);
        chart.addSeries(
                        "stranded accelerators",
                        times,
                        samples.stream()
                                .map(sample -> sample.fleet().strandedAccelerators())
                                .toList())
                .setMarker(SeriesMarkers.CIRCLE);
        return chart;
    }

    private static CategoryChart categoryChart(String title, String axis) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .yAxisTitle(axis)
                .theme(Styler.ChartTheme.XChart)
                .build();
        chart.getStyler().setXAxisLabelRotation(30).setYAxisDecimalPattern("0.0");
        return chart;
    }

    private static List<String> names(BurnReport report) {
        return plotted(report).stream()
                .map(line -> line.key().service() + " " + line.key().account())
                .toList();
    }

    private static List<Double> values(BurnReport report, ToDoubleFunction<BurnReport.Line> value) {
        return plotted(report).stream().map(value::applyAsDouble).toList();
    }

    private static ImmutableList<BurnReport.Line> plotted(BurnReport report) {
        return report.lines()
                .subList(0, Math.min(MAX_PLOTTED_LINES, report.lines().size()));
    }

    private static void image(Chart<?, ?> chart, String title, StringBuilder page) throws IOException {
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        page.append("<p><img alt=\"")
                .append(escape(title))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(png))
                .append("\"></p>\n");
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }
}
