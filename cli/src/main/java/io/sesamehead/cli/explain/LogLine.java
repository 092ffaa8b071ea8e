package io.sesamehead.cli.explain;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line that an entry daemon wrote.
 *
 * @param source file or daemon that the line comes from
 * @param part part of the daemon, the line's prefix
 * @param event what happened
 * @param fields the other fields by name, in their order
 */
public record LogLine(String source, String part, String event, Map<String, String> fields) {
    private static final Pattern LINE = Pattern.compile("^(?:.*?(\\S+) )?([a-z]+): event=(\\S+)(.*)$");
    private static final Pattern FIELD = Pattern.compile(" ([a-z_]+)=(?:\"([^\"]*)\"|(\\S*))");

    /** Copies the fields, whose order is kept. */
    public LogLine {
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Reads a line. Text in front of the part, such as a collector's time and host, is taken off; its last word names the
     * source.
     *
     * @param file name of the file, used where no host stands in front
     * @param text the line
     * @return the line, or empty if it is none of a daemon's
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
     * @param name its name
     * @return its value, or an empty text
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
