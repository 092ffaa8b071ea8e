package io.sesamehead.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A control order received by the engine. */
record EngineOrder(
        String type,
        String orderId,
        long epoch,
        String group,
        String model,
        String version,
        List<Member> members,
        int rank) {

    /** A member of a group, listed by rank; the address is empty if the order does not include it. */
    record Member(String vm, String address) {}

    static EngineOrder parse(JsonNode json) {
        List<Member> members = new ArrayList<>();
        for (JsonNode member : json.path("members")) {
            members.add(new Member(
                    member.path("vm").asText(member.asText()),
                    member.path("address").asText("")));
        }
        return new EngineOrder(
                json.path("order").asText(),
                json.path("orderId").asText(),
                json.path("epoch").asLong(),
                json.path("group").asText(""),
                json.path("model").asText(""),
                json.path("version").asText(""),
                List.copyOf(members),
                json.path("rank").asInt());
    }
}
