package io.sesamehead.cli.report;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Encodes a burn report as JSON. */
public final class JsonReportEncoder {
    private JsonReportEncoder() {}

    /**
     * Encodes a report.
     *
     * @param report the report
     * @return a JSON object
     */
    public static ObjectNode encode(BurnReport report) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("epochMillis", report.epochMillis());
        node.put("coveredMillis", report.coveredMillis());
        node.put("daemonsAnswered", report.respondingDaemons());
        node.put("daemonsSilent", report.unresponsiveDaemons());
        ArrayNode lines = node.putArray("levels");
        report.lines().forEach(line -> lines.add(line(line)));
        node.putObject("fleet")
                .put("groupsAsked", report.fleet().desiredGroups())
                .put("groupsServing", report.fleet().servingGroups())
                .put("accelerators", report.fleet().accelerators())
                .put("strandedAccelerators", report.fleet().strandedAccelerators());
        ObjectNode downtime = node.putObject("groupDowntimeSeconds");
        report.groupDowntimeSeconds().forEach((window, seconds) -> downtime.put(window.label(), seconds));
        ObjectNode stranded = node.putObject("strandedAcceleratorSeconds");
        report.strandedAcceleratorSeconds().forEach((window, seconds) -> stranded.put(window.label(), seconds));
        return node;
    }

    private static ObjectNode line(BurnReport.Line line) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("service", line.key().service());
        node.put("account", line.key().account());
        ObjectNode windows = node.putObject("windows");
        line.counters()
                .forEach((window, counters) -> windows.putObject(window.label())
                        .put("calls", counters.calls())
                        .put("bad", counters.bad())
                        .put("firstTokens", counters.firstTokens())
                        .put("lateFirstTokens", counters.lateFirstTokens())
                        .put("gaps", counters.gaps())
                        .put("lateGaps", counters.lateGaps())
                        .put("burnRate", line.burn().get(window)));
        return node.put("fastBurn", line.fastBurn())
                .put("slowBurn", line.slowBurn())
                .put("budgetLeft", line.remainingBudget())
                .put("firstTokenP95Millis", line.firstTokenP95Millis())
                .put("firstTokenBurn", line.firstTokenBurn())
                .put("betweenTokensP95Millis", line.betweenTokensP95Millis())
                .put("betweenTokensBurn", line.betweenTokensBurn())
                .put("verdict", line.verdict());
    }
}
