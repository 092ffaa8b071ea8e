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
public final class IdempotencyRecordCodec {
    private IdempotencyRecordCodec() {}

    /**
     * Decodes an order.
     *
     * @param spec the JSON object
     * @return the order
     * @throws MalformedMessageException if a field is missing or mistyped
     */
    public static IdempotencyRecord decode(JsonNode spec) throws MalformedMessageException {
        JsonFields fields = JsonFields.of(spec);
        Optional<IdempotencyRecord.Result> result =
                fields.has("result") ? Optional.of(decodeResult(fields.object("result"))) : Optional.empty();
        return new IdempotencyRecord(
                new ServiceName(fields.nonBlank("service")),
                new ClientAccount(fields.nonBlank("account")),
                fields.text("key"),
                fields.text("bodyFingerprint"),
                new DaemonId(fields.nonBlank("claimedBy")),
                TextValues.incarnation(fields.text("claimant")),
                WriteTokens.parse(fields.text(WriteTokens.TOKEN)),
                result);
    }

    /**
     * Encodes an order.
     *
     * @param record the order
     * @return the JSON object
     */
    public static ObjectNode encode(IdempotencyRecord record) {
        ObjectNode tree = Json.object()
                .put("service", record.service().value())
                .put("account", record.account().value())
                .put("key", record.key())
                .put("bodyFingerprint", record.bodyFingerprint())
                .put("claimedBy", record.claimedBy().value())
                .put("claimant", record.claimant().toString())
                .put(WriteTokens.TOKEN, record.token().toString());
        record.result().ifPresent(result -> tree.set("result", encodeResult(result)));
        return tree;
    }

    private static IdempotencyRecord.Result decodeResult(JsonFields result) throws MalformedMessageException {
        return new IdempotencyRecord.Result(
                TextValues.constant(RunState.class, result.text("run")),
                result.intNumber("status"),
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
