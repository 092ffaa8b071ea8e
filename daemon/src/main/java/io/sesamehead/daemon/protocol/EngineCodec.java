package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.VmId;
import java.util.Optional;

/** Messages of the model engine: status, control orders and completions. */
public final class EngineCodec {
    private EngineCodec() {}

    /**
     * Decodes a status.
     *
     * @param tree the JSON object
     * @return the status
     * @throws MalformedMessageException if a field is missing or mistyped
     */
    public static EngineStatus decodeStatus(JsonNode tree) throws MalformedMessageException {
        JsonFields status = JsonFields.of(tree);
        ImmutableList.Builder<VmId> members = ImmutableList.builder();
        for (JsonNode member : status.items("members")) {
            members.add(decodeMember(member));
        }
        MemberReport report = new MemberReport(
                new VmId(status.nonBlank("vm")),
                TextValues.incarnation(status.text("incarnation")),
                status.optionalText("group").map(GroupId::new),
                new Epoch(status.numberOr("epoch", 0)),
                TextValues.constant(EngineState.class, status.text("state")),
                model(status),
                (int) status.numberOr("inFlight", 0),
                (int) status.numberOr("queued", 0),
                status.numberOr("reportAgeMillis", 0));
        return new EngineStatus(
                report,
                status.optionalText("role").orElse("none"),
                members.build(),
                status.flagOr("checksFencing", false));
    }

    /**
     * Encodes a control order.
     *
     * @param order the order
     * @return the JSON object
     */
    public static ObjectNode encode(EngineOrder order) {
        ObjectNode tree = Json.object()
                .put("orderId", order.orderId())
                .put("epoch", order.epoch().value())
                .put("failureDomain", order.failureDomain().value());
        switch (order) {
            case EngineOrder.Load load -> {
                tree.put("order", "load").put("group", load.group().value());
                tree.put("model", load.model()).put("version", load.version());
                putMembers(tree, load.members(), load.rank(), load.headAddress());
            }
            case EngineOrder.Release release ->
                tree.put("order", "release").put("group", release.group().value());
            case EngineOrder.Role role -> {
                tree.put("order", "role").put("group", role.group().value());
                putMembers(tree, role.members(), role.rank(), role.headAddress());
            }
        }
        return tree;
    }

    /**
     * Encodes a completion.
     *
     * @param request the completion
     * @return the JSON object
     */
    public static ObjectNode encode(CompletionRequest request) {
        return Json.object()
                .put("model", request.model())
                .put("prompt", request.prompt())
                .put("max_tokens", request.maxTokens())
                .put("stream", true)
                .put("request_id", request.requestId().value())
                .put("group", request.group().value())
                .put("epoch", request.epoch().value())
                .put("resume_from", request.resumeFrom())
                .put("priority", request.priority());
    }

    /**
     * Decodes the data of one event of a completion stream.
     *
     * @param data text after {@code data:}, other than {@code [DONE]}
     * @return the event
     * @throws MalformedMessageException if it is neither a token nor an end marker
     */
    public static CompletionEvent decodeEvent(String data) throws MalformedMessageException {
        JsonFields event = JsonFields.of(Json.parse(data));
        if (event.has("finish_reason")) {
            return new CompletionEvent.End(event.intNumber("count"), event.text("finish_reason"));
        }
        return new CompletionEvent.Token(event.intNumber("index"), event.text("text"));
    }

    private static void putMembers(
            ObjectNode tree, ImmutableList<EngineOrder.MemberAddress> members, int rank, String headAddress) {
        ArrayNode list = tree.putArray("members");
        for (EngineOrder.MemberAddress member : members) {
            list.addObject().put("vm", member.vm().value()).put("address", member.address());
        }
        tree.put("rank", rank).put("headAddress", headAddress);
    }

    private static VmId decodeMember(JsonNode member) throws MalformedMessageException {
        return new VmId(
                member.isTextual() ? member.textValue() : JsonFields.of(member).nonBlank("vm"));
    }

    private static Optional<String> model(JsonFields status) {
        return status.optionalText("model")
                .map(model -> model + "@" + status.optionalText("version").orElse(""));
    }
}
