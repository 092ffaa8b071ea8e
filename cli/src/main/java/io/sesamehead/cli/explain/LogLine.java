package io.sesamehead.cli.explain;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One log line of an entry daemon.
 *
 * @param source file or daemon that the line originates from
 * @param part component of the daemon, the prefix of the line
 * @param event what happened
 * @param fields the other fields by name, in the order of the line
 */
public record LogLine(String source, String part, String event, Map<String, String> fields) {
    private static final Pattern LINE = Pattern.compile("^(?:.*?(\\S+) )?([a-z]+): event=(\\S+)(.*)$");
    private static final Pattern FIELD = Pattern.compile(" ([a-z_]+)=(?:\"([^\"]*)\"|(\\S*))");

    /** Copies the fields and keeps their order. */
    public LogLine {
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Parses a line. Text before the component, such as the time and host added by a log collector, is removed; its
     * last word is used as the source.
     *
     * @param file name of the file, used as the source if no host precedes the line
     * @param text the line
     * @return the parsed line; empty if it was not written by a daemon
     */
    public static Optional<LogLine> parse(String file, String text) {
        Matcher line = LINE.matcher(text);
        if (!line.matches()) {
            return Optional.empty();
        }
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher field = FIELD.matcher(line.group(4));
        while (field.find()) {
            fields.put(field.group(1), field.group(2) == null ? field.group(3) : field.group(2));
        }
        String source = line.group(1) == null ? file : line.group(1);
        return Optional.of(new LogLine(source, line.group(2), line.group(3), fields));
    }

    /**
     * Returns a field.
     *
     * @param name name of the field
     * @return the value of the field, or an empty string if it is missing
     */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(part).append(": ").append(event);
        fields.forEach(
                (name, value) -> text.append(' ').append(name).append('=').append(value));
        return text.toString();
    }
}
