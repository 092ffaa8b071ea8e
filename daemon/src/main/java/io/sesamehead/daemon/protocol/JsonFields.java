package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/** Typed access to the fields of a JSON object; a missing or mistyped field is reported by its name. */
final class JsonFields {
    private final JsonNode node;

    private JsonFields(JsonNode node) {
        this.node = node;
    }

    static JsonFields of(JsonNode node) throws MalformedMessageException {
        if (node == null || !node.isObject()) {
            throw new MalformedMessageException("expected a JSON object");
        }
        return new JsonFields(node);
    }

    String text(String name) throws MalformedMessageException {
        JsonNode value = required(name);
        if (!value.isTextual()) {
            throw new MalformedMessageException("field " + name + " must be a string");
        }
        return value.textValue();
    }

    String nonBlank(String name) throws MalformedMessageException {
        String value = text(name);
        if (value.isBlank()) {
            throw new MalformedMessageException("field " + name + " must not be blank");
        }
        return value;
    }

    Optional<String> optionalText(String name) {
        JsonNode value = node.get(name);
        if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(value.textValue());
    }

    long number(String name) throws MalformedMessageException {
        JsonNode value = required(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new MalformedMessageException("field " + name + " must be an integer");
        }
        return value.longValue();
    }

    int intNumber(String name) throws MalformedMessageException {
        long value = number(name);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw new MalformedMessageException("field " + name + " is out of range: " + value);
        }
        return (int) value;
    }

    long numberOr(String name, long fallback) throws MalformedMessageException {
        return has(name) ? number(name) : fallback;
    }

    boolean flagOr(String name, boolean fallback) throws MalformedMessageException {
        if (!has(name)) {
            return fallback;
        }
        JsonNode value = node.get(name);
        if (!value.isBoolean()) {
            throw new MalformedMessageException("field " + name + " must be true or false");
        }
        return value.booleanValue();
    }

    boolean has(String name) {
        return node.hasNonNull(name);
    }

    JsonFields object(String name) throws MalformedMessageException {
        JsonNode value = required(name);
        if (!value.isObject()) {
            throw new MalformedMessageException("field " + name + " must be an object");
        }
        return new JsonFields(value);
    }

    JsonNode tree(String name) throws MalformedMessageException {
        return required(name);
    }

    ImmutableList<JsonNode> items(String name) throws MalformedMessageException {
        if (!has(name)) {
            return ImmutableList.of();
        }
        JsonNode value = node.get(name);
        if (!value.isArray()) {
            throw new MalformedMessageException("field " + name + " must be an array");
        }
        return ImmutableList.copyOf(value);
    }

    ImmutableList<String> texts(String name) throws MalformedMessageException {
        ImmutableList.Builder<String> result = ImmutableList.builder();
        for (JsonNode item : items(name)) {
            if (!item.isTextual()) {
                throw new MalformedMessageException("field " + name + " must be an array of strings");
            }
            result.add(item.textValue());
        }
        return result.build();
    }

    private JsonNode required(String name) throws MalformedMessageException {
        JsonNode value = node.get(name);
        if (value == null || value.isNull()) {
            throw new MalformedMessageException("field " + name + " is missing");
        }
        return value;
    }
}
