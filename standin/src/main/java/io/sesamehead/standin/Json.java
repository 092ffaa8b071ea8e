package io.sesamehead.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Reads, creates and writes the JSON values of the stand-ins. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses an object.
     *
     * @param bytes JSON text; empty input gives an empty object
     * @return the object
     * @throws IOException if the text is not a JSON object
     */
    public static ObjectNode parse(byte[] bytes) throws IOException {
        return bytes.length == 0 ? object() : MAPPER.readValue(bytes, ObjectNode.class);
    }

    /**
     * Converts a record, map or collection to JSON. Record components keep their names.
     *
     * @param value the value
     * @return the JSON value
     */
    public static JsonNode of(Object value) {
        return MAPPER.valueToTree(value);
    }

    /**
     * Serializes a value without line breaks.
     *
     * @param value the value
     * @return UTF-8 bytes
     */
    public static byte[] bytes(JsonNode value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Serializes a value as one line.
     *
     * @param value the value
     * @return UTF-8 bytes, terminated by a line feed
     */
    public static byte[] line(JsonNode value) {
        return (new String(bytes(value), StandardCharsets.UTF_8) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Creates a problem document (RFC 9457).
     *
     * @param status HTTP status
     * @param runState whether the call was executed: {@code not-run}, {@code ran} or {@code may-have-run}
     * @param detail description of the error
     * @return the document
     */
    public static ObjectNode problem(int status, String runState, String detail) {
        return object().put("status", status).put("detail", detail).put("run", runState);
    }
}
