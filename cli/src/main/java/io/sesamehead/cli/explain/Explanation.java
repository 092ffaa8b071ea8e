package io.sesamehead.cli.explain;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One request's story. Lines of one daemon keep the order in which it wrote them; lines of different daemons are not
 * ordered by time, since their clocks are not the same, but stand with the subject that they speak of.
 *
 * @param cause why the request ended as it did
 * @param lines the request's own lines
 * @param context lines of any daemon on the targets and upstreams that the request was sent to, and on the crashes of the
 *     request over all its tries, by subject
 */
public record Explanation(String cause, List<LogLine> lines, Map<String, List<LogLine>> context) {
    private static final String UNKNOWN = "the logs hold no end of this request";
    private static final String TARGET = "target";
    private static final String REQUEST = "request";
    /** Fields that name what a request met: its targets, their upstreams, and itself over all its tries. */
    private static final List<String> SUBJECTS = List.of(TARGET, "upstream", REQUEST);
    /** Lines on one subject that are shown at most, the last ones. */
    private static final int MAX_CONTEXT = 8;

    /** Copies the lists. */
    public Explanation {
        lines = List.copyOf(lines);
    }

    /**
     * Collects the story of a request.
     *
     * @param id the request's id
     * @param lines lines of all daemons, those of one daemon in their order
     * @return the story; its list of lines is empty if the request is not found
     */
    public static Explanation of(String id, List<LogLine> lines) {
        List<LogLine> story =
                lines.stream().filter(line -> line.field("id").equals(id)).toList();
        Map<String, List<LogLine>> context = new LinkedHashMap<>();
        for (String field : SUBJECTS) {
            Set<String> names = new LinkedHashSet<>();
            story.forEach(line -> names.add(line.field(field)));
            names.remove("");
            for (String name : names) {
                List<LogLine> found = about(field, name, lines);
                if (!found.isEmpty() || field.equals(TARGET)) {
                    context.put(name, found);
                }
            }
        }
        return new Explanation(cause(story), story, context);
    }

    /** Lines of other requests are left out, but for those on the crashes of the same request. */
    private static List<LogLine> about(String field, String name, List<LogLine> lines) {
        List<LogLine> found = new ArrayList<>();
        for (LogLine line : lines) {
            boolean ordered = field.equals(TARGET) && line.field("order").contains("replica=" + name);
            boolean named = line.field(field).equals(name) || ordered;
            if (named && (field.equals(REQUEST) || !line.part().equals("call"))) {
                found.add(line);
            }
        }
        return List.copyOf(found.subList(Math.max(0, found.size() - MAX_CONTEXT), found.size()));
    }

    private static String cause(List<LogLine> story) {
        LogLine end = null;
        String lost = "";
        for (LogLine line : story) {
            switch (line.event()) {
                case "failed", "refused", "ended" -> end = line;
                case "attempt-lost" ->
                    lost = " after the attempt at " + line.field("target") + " was lost: " + line.field("reason");
                default -> {}
            }
        }
        if (end == null) {
            return UNKNOWN + lost;
        }
        return switch (end.event()) {
            case "ended" ->
                "answered with status " + end.field("status") + " after " + end.field("took_ms") + " ms" + lost;
            case "refused" ->
                meaning(end.field("reason")) + " (configuration " + end.field("config") + ", "
                        + end.field("config_age_ms") + " ms old)";
            default ->
                meaning(end.field("end")) + lost + " (" + end.field("reason") + "; " + end.field("took_ms")
                        + " ms after arrival, " + end.field("ran") + " attempts may have run)";
        };
    }

    private static String meaning(String end) {
        return switch (end) {
            case "no-place" ->
                "refused: all places of the model's groups were taken for longer than the request could wait";
            case "no-target" -> "refused: no group or upstream could take calls";
            case "no-configuration" -> "refused: the daemon's configuration was missing or too old to use keys";
            case "unknown-key" -> "refused: no client account holds the key in the configuration in force";
            case "no-route" -> "refused: no route matches in the configuration in force";
            case "crashed-before" -> "refused: the request broke its upstreams each time it ran";
            case "expired-unsent" -> "its time ran out before it could be sent";
            case "expired" -> "its time ran out while it was at an upstream";
            case "may-have-run" -> "given up: the upstream broke off and the request may have run";
            case "broken-off" -> "its answer was broken off";
            default -> "ended as " + end;
        };
    }
}
