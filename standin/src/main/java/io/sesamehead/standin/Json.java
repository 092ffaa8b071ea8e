package io.sesamehead.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** JSON values of the stand-ins. */
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
     * @param bytes JSON text; empty text is the empty object
     * @return the object
     * @throws IOException if the text is not a JSON object
     */
    public static ObjectNode parse(byte[] bytes) throws IOException {
        return bytes.length == 0 ? object() : MAPPER.readValue(bytes, ObjectNode.class);
    }

    /**
     * Converts a value (record, map or collection) to its JSON form.
     *
     * @param value the value
     * @return the JSON form
     */
    public static JsonNode of(Object value) {
        return MAPPER.valueToTree(value);
    }

    /**
     * Writes a value without line breaks.
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
     * Writes a value as one line.
     *
     * @param value the value
     * @return UTF-8 bytes that end with a line feed
     */
    public static byte[] line(JsonNode value) {
        return (new String(bytes(value), StandardCharsets.UTF_8) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Creates a problem document (RFC 9457).
     *
     * @param status HTTP status
     * @param runState whether the call ran: {@code not-run}, {@code ran} or {@code may-have-run}
     * @param detail what is wrong
     * @return the document
     */
    public static ObjectNode problem(int status, String runState, String detail) {
        return object().put("status", status).put("detail", detail).put("run", runState);
    }
}
