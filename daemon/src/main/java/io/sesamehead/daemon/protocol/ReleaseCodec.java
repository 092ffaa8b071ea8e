package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.Generation;
import io.sesamehead.state.VmId;

/** JSON form of {@link ReleaseObject}. */
public final class ReleaseCodec {
    private ReleaseCodec() {}

    /**
     * Decodes the content of the object.
     *
     * @param spec the JSON object
     * @return the release
     * @throws MalformedMessageException if a field is missing or mistyped
     */
    public static ReleaseObject decode(JsonNode spec) throws MalformedMessageException {
        JsonFields fields = JsonFields.of(spec);
        return new ReleaseObject(
                new Generation(fields.number("generation")),
                fields.text("note"),
                fields.texts("drained").stream().map(VmId::new).collect(ImmutableSet.toImmutableSet()),
                WriteTokens.parse(fields.text(WriteTokens.TOKEN)),
                WriteTokens.history(fields));
    }

    /**
     * Encodes the content of the object.
     *
     * @param release the release
     * @return the JSON object
     */
    public static ObjectNode encode(ReleaseObject release) {
        ObjectNode tree = Json.object()
                .put("generation", release.generation().value())
                .put("note", release.note())
                .put(WriteTokens.TOKEN, release.token().toString());
        ArrayNode drained = tree.putArray("drained");
        release.drained().forEach(vm -> drained.add(vm.value()));
        ArrayNode writers = tree.putArray(WriteTokens.WRITERS);
        release.writers().forEach(token -> writers.add(token.toString()));
        return tree;
    }
}
