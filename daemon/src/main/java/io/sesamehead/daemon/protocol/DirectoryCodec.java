package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.WriteToken;
import java.util.Collection;

/** JSON form of the content of {@code daemondirectories/<fd>}. */
public final class DirectoryCodec {
    private DirectoryCodec() {}

    /**
     * Decodes a directory.
     *
     * @param spec the JSON object
     * @return its daemons
     * @throws MalformedMessageException if a field is missing or mistyped
     */
    public static ImmutableList<DaemonEntry> decode(JsonNode spec) throws MalformedMessageException {
        ImmutableList.Builder<DaemonEntry> result = ImmutableList.builder();
        for (JsonNode item : JsonFields.of(spec).items("daemons")) {
            JsonFields daemon = JsonFields.of(item);
            result.add(new DaemonEntry(
                    new DaemonId(daemon.nonBlank("daemon")),
                    TextValues.incarnation(daemon.text("incarnation")),
                    new FailureDomain(daemon.nonBlank("failureDomain")),
                    daemon.nonBlank("peerAddress"),
                    daemon.flagOr("leaving", false)));
        }
        return result.build();
    }

    /**
     * Encodes a directory.
     *
     * @param daemons its daemons
     * @param token token of this write
     * @return the JSON object
     */
    public static ObjectNode encode(Collection<DaemonEntry> daemons, WriteToken token) {
        ObjectNode tree = Json.object().put(WriteTokens.TOKEN, token.toString());
        ArrayNode list = tree.putArray("daemons");
        for (DaemonEntry daemon : daemons) {
            list.addObject()
                    .put("daemon", daemon.daemon().value())
                    .put("incarnation", daemon.incarnation().toString())
                    .put("failureDomain", daemon.failureDomain().value())
                    .put("peerAddress", daemon.peerAddress())
                    .put("leaving", daemon.leaving());
        }
        return tree;
    }
}
