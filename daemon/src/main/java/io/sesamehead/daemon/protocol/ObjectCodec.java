package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;

/** Platform objects as the object API sends and takes them. */
public final class ObjectCodec {
    private static final String API_VERSION = "sesamehead.io/v1";

    private ObjectCodec() {}

    /**
     * Decodes one object.
     *
     * @param kind kind of the object, from the URL
     * @param tree the JSON object
     * @return the object
     * @throws MalformedMessageException if a field is missing or mistyped
     */
    public static PlatformObject decode(String kind, JsonNode tree) throws MalformedMessageException {
        JsonFields object = JsonFields.of(tree);
        JsonFields metadata = object.object("metadata");
        return new PlatformObject(
                kind, metadata.nonBlank("name"), metadata.text("resourceVersion"), object.tree("spec"));
    }

    /**
     * Decodes a list of objects.
     *
     * @param kind kind of the objects, from the URL
     * @param tree the JSON list
     * @return the objects
     * @throws MalformedMessageException if a field is missing or mistyped
     */
    public static ImmutableList<PlatformObject> decodeList(String kind, JsonNode tree)
            throws MalformedMessageException {
        ImmutableList.Builder<PlatformObject> result = ImmutableList.builder();
        for (JsonNode item : JsonFields.of(tree).items("items")) {
            result.add(decode(kind, item));
        }
        return result.build();
    }

    /**
     * Encodes an object for a create or a conditional update.
     *
     * @param object the object
     * @return the JSON object
     */
    public static ObjectNode encode(PlatformObject object) {
        ObjectNode tree = Json.object().put("apiVersion", API_VERSION).put("kind", object.kind());
        ObjectNode metadata = tree.putObject("metadata").put("name", object.name());
        if (!object.resourceVersion().isEmpty()) {
            metadata.put("resourceVersion", object.resourceVersion());
        }
        tree.set("spec", object.spec());
        return tree;
    }
}
