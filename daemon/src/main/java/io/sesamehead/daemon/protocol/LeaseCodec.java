package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.WriteToken;

/** JSON form of the content of {@code controllers/<fd>}. */
public final class LeaseCodec {
    private LeaseCodec() {}

    /**
     * Decodes a lease.
     *
     * @param spec the JSON object
     * @return the lease
     * @throws MalformedMessageException if a field is missing or mistyped
     */
    public static Lease decode(JsonNode spec) throws MalformedMessageException {
        JsonFields fields = JsonFields.of(spec);
        return new Lease(
                new DaemonId(fields.nonBlank("holder")),
                TextValues.incarnation(fields.text("holderIncarnation")),
                fields.number("epoch"),
                fields.number("ttlMillis"),
                fields.number("renewals"));
    }

    /**
     * Encodes a lease.
     *
     * @param lease the lease
     * @param token token of this write
     * @return the JSON object
     */
    public static ObjectNode encode(Lease lease, WriteToken token) {
        return Json.object()
                .put("holder", lease.holder().value())
                .put("holderIncarnation", lease.holderIncarnation().toString())
                .put("epoch", lease.epoch())
                .put("ttlMillis", lease.ttlMillis())
                .put("renewals", lease.renewals())
                .put(WriteTokens.TOKEN, token.toString());
    }
}
