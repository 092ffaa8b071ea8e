package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.VmId;
import io.sesamehead.state.WriteToken;
import java.util.Optional;

/** JSON form of the content of {@code groupassignments/<fd>}. */
public final class AssignmentCodec {
    private AssignmentCodec() {}

    /**
     * Decodes an assignment.
     *
     * @param spec the JSON object
     * @return the assignment
     * @throws MalformedMessageException if a field is missing or mistyped, or a VM is in two groups
     */
    public static GroupAssignment decode(JsonNode spec) throws MalformedMessageException {
        JsonFields fields = JsonFields.of(spec);
        ImmutableList.Builder<Group> groups = ImmutableList.builder();
        for (JsonNode item : fields.items("groups")) {
            groups.add(decodeGroup(JsonFields.of(item)));
        }
        try {
            return new GroupAssignment(
                    new FailureDomain(fields.nonBlank("failureDomain")),
                    fields.number("controllerEpoch"),
                    fields.number("version"),
                    fields.number("nextGroupNumber"),
                    groups.build(),
                    fields.texts("lost").stream().map(VmId::new).collect(ImmutableSet.toImmutableSet()));
        } catch (IllegalStateException e) {
            throw new MalformedMessageException(e.getMessage());
        }
    }

    /**
     * Encodes an assignment.
     *
     * @param assignment the assignment
     * @param token token of this write
     * @return the JSON object
     */
    public static ObjectNode encode(GroupAssignment assignment, WriteToken token) {
        ObjectNode tree = Json.object()
                .put("failureDomain", assignment.failureDomain().value())
                .put("controllerEpoch", assignment.controllerEpoch())
                .put("version", assignment.version())
                .put("nextGroupNumber", assignment.nextGroupNumber())
                .put(WriteTokens.TOKEN, token.toString());
        ArrayNode groups = tree.putArray("groups");
        assignment.groups().forEach(group -> groups.add(encodeGroup(group)));
        ArrayNode lost = tree.putArray("lost");
        assignment.lost().forEach(vm -> lost.add(vm.value()));
        return tree;
    }

    private static Group decodeGroup(JsonFields group) throws MalformedMessageException {
        ImmutableList.Builder<Group.Member> members = ImmutableList.builder();
        for (JsonNode item : group.items("members")) {
            JsonFields member = JsonFields.of(item);
            Optional<String> engine = member.optionalText("engine");
            Optional<Incarnation> incarnation =
                    engine.isPresent() ? Optional.of(TextValues.incarnation(engine.get())) : Optional.empty();
            members.add(new Group.Member(new VmId(member.nonBlank("vm")), incarnation));
        }
        return new Group(
                new GroupId(group.nonBlank("id")),
                new ServiceName(group.nonBlank("service")),
                group.text("model"),
                group.text("version"),
                new Epoch(group.number("epoch")),
                TextValues.constant(GroupState.class, group.text("state")),
                members.build());
    }

    private static ObjectNode encodeGroup(Group group) {
        ObjectNode tree = Json.object()
                .put("id", group.id().value())
                .put("service", group.service().value())
                .put("model", group.model())
                .put("version", group.version())
                .put("epoch", group.epoch().value())
                .put("state", TextValues.text(group.state()));
        ArrayNode members = tree.putArray("members");
        for (Group.Member member : group.members()) {
            ObjectNode item = members.addObject().put("vm", member.vm().value());
            member.engine().ifPresent(engine -> item.put("engine", engine.toString()));
        }
        return tree;
    }
}
