package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** JSON text to trees and back. A text with anything after the first value is malformed. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private Json() {}

    /**
     * Creates an empty object.
     *
     * @return the object
     */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /**
     * Creates an empty array.
     *
     * @return the array
     */
    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /**
     * Parses UTF-8 text.
     *
     * @param text the text
     * @return the tree
     * @throws MalformedMessageException if the text is not exactly one JSON value
     */
    public static JsonNode parse(byte[] text) throws MalformedMessageException {
        try {
            return requireValue(MAPPER.readTree(text));
        } catch (IOException e) {
            throw malformed(e);
        }
    }

    /**
     * Parses a text.
     *
     * @param text the text
     * @return the tree
     * @throws MalformedMessageException if the text is not exactly one JSON value
     */
    public static JsonNode parse(String text) throws MalformedMessageException {
        try {
            return requireValue(MAPPER.readTree(text));
        } catch (JsonProcessingException e) {
            throw malformed(e);
        }
    }

    /**
     * Writes a tree as UTF-8 text.
     *
     * @param tree the tree
     * @return the text
     */
    public static byte[] bytes(JsonNode tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree cannot be written", e);
        }
    }

    private static JsonNode requireValue(JsonNode tree) throws MalformedMessageException {
        if (tree == null || tree.isMissingNode()) {
            throw new MalformedMessageException("the JSON text is empty");
        }
        return tree;
    }

    private static MalformedMessageException malformed(IOException cause) {
        String message = cause instanceof JsonProcessingException json ? json.getOriginalMessage() : cause.getMessage();
        return new MalformedMessageException(message);
    }
}
