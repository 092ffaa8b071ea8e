package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.RunState;
import io.sesamehead.state.ServiceName;
import java.util.Optional;

/** JSON form of the content of {@code orders} objects. */
public final class OrderCodec {
    private OrderCodec() {}

    /**
     * Decodes an order.
     *
     * @param spec the JSON object
     * @return the order
     * @throws MalformedMessageException if a field is missing or mistyped
     */
    public static IdempotencyRecord decode(JsonNode spec) throws MalformedMessageException {
        Fields fields = Fields.of(spec);
        Optional<IdempotencyRecord.Result> result =
                fields.has("result") ? Optional.of(decodeResult(fields.object("result"))) : Optional.empty();
        return new IdempotencyRecord(
                new ServiceName(fields.nonBlank("service")),
                new ClientAccount(fields.nonBlank("account")),
                fields.text("key"),
                fields.text("bodyFingerprint"),
                new DaemonId(fields.nonBlank("claimedBy")),
                Values.incarnation(fields.text("claimant")),
                Tokens.parse(fields.text(Tokens.TOKEN)),
                result);
    }

    /**
     * Encodes an order.
     *
     * @param order the order
     * @return the JSON object
     */
    public static ObjectNode encode(IdempotencyRecord order) {
        ObjectNode tree = Json.object()
                .put("service", order.service().value())
                .put("account", order.account().value())
                .put("key", order.key())
                .put("bodyFingerprint", order.bodyFingerprint())
                .put("claimedBy", order.claimedBy().value())
                .put("claimant", order.claimant().toString())
                .put(Tokens.TOKEN, order.token().toString());
        order.result().ifPresent(result -> tree.set("result", encodeResult(result)));
        return tree;
    }

    private static IdempotencyRecord.Result decodeResult(Fields result) throws MalformedMessageException {
        return new IdempotencyRecord.Result(
                Values.constant(RunState.class, result.text("run")),
                result.smallNumber("status"),
                result.text("contentType"),
                result.text("body"),
                result.number("recordedEpochMillis"));
    }

    private static ObjectNode encodeResult(IdempotencyRecord.Result result) {
        return Json.object()
                .put("run", result.runState().wireName())
                .put("status", result.status())
                .put("contentType", result.contentType())
                .put("body", result.body())
                .put("recordedEpochMillis", result.recordedEpochMillis());
    }
}
