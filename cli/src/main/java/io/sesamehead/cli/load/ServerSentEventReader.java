package io.sesamehead.cli.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.Optional;

/** Reads server-sent events one at a time. */
final class ServerSentEventReader {
    private final BufferedReader lines;

    ServerSentEventReader(BufferedReader lines) {
        this.lines = lines;
    }

    /**
     * Reads the next event.
     *
     * @return the event; empty at the end of the stream, even if it ends within an event
     * @throws IOException if the connection breaks
     */
    Optional<Event> next() throws IOException {
        String name = "message";
        String id = "";
        StringBuilder data = new StringBuilder();
        boolean hasFields = false;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.isEmpty()) {
                if (hasFields) {
                    return Optional.of(new Event(name, id, data.toString()));
                }
            } else if (!line.startsWith(":")) {
                hasFields = true;
                String value = value(line);
                switch (field(line)) {
                    case "event" -> name = value;
                    case "id" -> id = value;
                    case "data" -> data.append(data.isEmpty() ? "" : "\n").append(value);
                    default -> {
                        // The interface for clients defines no other fields.
                    }
                }
            }
        }
        return Optional.empty();
    }

    private static String field(String line) {
        int colon = line.indexOf(':');
        return colon < 0 ? line : line.substring(0, colon);
    }

    private static String value(String line) {
        int colon = line.indexOf(':');
        if (colon < 0) {
            return "";
        }
        String value = line.substring(colon + 1);
        return value.startsWith(" ") ? value.substring(1) : value;
    }

    /**
     * One event.
     *
     * @param name event name
     * @param id event id
     * @param data data lines, joined by line feeds
     */
    record Event(String name, String id, String data) {}
}
