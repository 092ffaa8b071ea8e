package io.sesamehead.cli.explain;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Log lines that explain the outcome of one request. Lines of one daemon keep the order in which they were written.
 * Lines of different daemons are grouped by subject and not ordered by time, because the clocks of the daemons differ.
 *
 * @param cause why the request ended as it did
 * @param lines the lines of the request itself
 * @param context by subject, the lines of any daemon about the targets and upstreams that the request was sent to and
 *     about the crashes caused by the request in all its attempts
 */
public record Explanation(String cause, List<LogLine> lines, Map<String, List<LogLine>> context) {
    private static final String NO_END_LOGGED = "the logs hold no end of this request";
    private static final String TARGET = "target";
    private static final String REQUEST = "request";
    /**
     * Fields that name the subjects related to a request: its targets, their upstreams, and the request itself across
     * all its attempts.
     */
    private static final List<String> SUBJECT_FIELDS = List.of(TARGET, "upstream", REQUEST);
    /** Maximum number of lines per subject; only the last ones are kept. */
    private static final int MAX_CONTEXT_LINES = 8;

    /** Copies the list of lines. */
    public Explanation {
        lines = List.copyOf(lines);
    }

    /**
     * Collects the log lines that explain a request.
     *
     * @param id id of the request
     * @param lines lines of all daemons; those of one daemon in the order in which they were written
     * @return the explanation; its list of lines is empty if the request is not found
     */
    public static Explanation of(String id, List<LogLine> lines) {
        List<LogLine> requestLines =
                lines.stream().filter(line -> line.field("id").equals(id)).toList();
        Map<String, List<LogLine>> context = new LinkedHashMap<>();
        for (String field : SUBJECT_FIELDS) {
            Set<String> names = new LinkedHashSet<>();
            requestLines.forEach(line -> names.add(line.field(field)));
            names.remove("");
            for (String name : names) {
                List<LogLine> matching = linesAbout(field, name, lines);
                if (!matching.isEmpty() || field.equals(TARGET)) {
                    context.put(name, matching);
                }
            }
        }
        return new Explanation(cause(requestLines), requestLines, context);
    }

    /**
     * Returns the last lines about a subject. Lines of other requests are left out, except those about crashes caused
     * by the same request.
     */
    private static List<LogLine> linesAbout(String field, String name, List<LogLine> lines) {
        List<LogLine> matching = new ArrayList<>();
        for (LogLine line : lines) {
            boolean namedInOrder = field.equals(TARGET) && line.field("order").contains("replica=" + name);
            boolean matches = line.field(field).equals(name) || namedInOrder;
            if (matches && (field.equals(REQUEST) || !line.part().equals("call"))) {
                matching.add(line);
            }
        }
        return List.copyOf(matching.subList(Math.max(0, matching.size() - MAX_CONTEXT_LINES), matching.size()));
    }

    private static String cause(List<LogLine> requestLines) {
        LogLine end = null;
        String lost = "";
        for (LogLine line : requestLines) {
            switch (line.event()) {
                case "failed", "refused", "ended" -> end = line;
                case "attempt-lost" ->
                    lost = " after the attempt at " + line.field("target") + " was lost: " + line.field("reason");
                default -> {}
            }
        }
        if (end == null) {
            return NO_END_LOGGED + lost;
        }
        return switch (end.event()) {
            case "ended" ->
                "answered with status " + end.field("status") + " after " + end.field("took_ms") + " ms" + lost;
            case "refused" ->
                describe(end.field("reason")) + " (configuration " + end.field("config") + ", "
                        + end.field("config_age_ms") + " ms old)";
            default ->
                describe(end.field("end")) + lost + " (" + end.field("reason") + "; " + end.field("took_ms")
                        + " ms after arrival, " + end.field("ran") + " attempts may have run)";
        };
    }

    private static String describe(String end) {
        return switch (end) {
            case "no-place" ->
                "refused: all places of the model's groups were taken for longer than the request could wait";
            case "no-target" -> "refused: no group or upstream could take calls";
            case "no-configuration" -> "refused: the daemon's configuration was missing or too old to use keys";
            case "unknown-key" -> "refused: no client account holds the key in the configuration in force";
            case "no-route" -> "refused: no route matches in the configuration in force";
            case "crashed-before" ->
                "refused: the request or a part of its prompt broke its upstreams each time it ran";
            case "expired-unsent" -> "its time ran out before it could be sent";
            case "expired" -> "its time ran out while it was at an upstream";
            case "may-have-run" -> "given up: the upstream broke off and the request may have run";
            case "broken-off" -> "its answer was broken off";
            default -> "ended as " + end;
        };
    }
}
