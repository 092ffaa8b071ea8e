package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.cli.operator.FleetReader;
import io.sesamehead.cli.operator.ReleaseWriter;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import java.util.List;
import java.util.Locale;

/** {@code groups}: lists the groups as recorded on the platform. */
@Parameters(commandDescription = "List the groups of all failure domains with their members")
public final class GroupsCommand implements Command {
    @Parameter(names = "--json", description = "Print JSON")
    private boolean json;

    @ParametersDelegate
    private final PlatformOptions platformOptions = new PlatformOptions();

    @Override
    public ExitCode run(Console console) throws CommandException {
        try (PlatformClient platform = platformOptions.open()) {
            List<GroupAssignment> assignments = new FleetReader(platform).assignments();
            if (json) {
                console.print(toJson(assignments).toPrettyString());
            } else {
                table(assignments).print(console);
            }
            return ExitCode.DONE;
        } catch (ReleaseWriter.ReadException e) {
            throw new CommandException(ExitCode.FAILED, e.getMessage());
        }
    }

    static Table table(List<GroupAssignment> assignments) {
        Table table = new Table("GROUP", "SERVICE", "FAILURE DOMAIN", "STATE", "MODEL", "EPOCH", "MEMBERS");
        for (GroupAssignment assignment : assignments) {
            for (Group group : assignment.groups()) {
                table.row(
                        group.id().value(),
                        group.service().value(),
                        assignment.failureDomain().value(),
                        stateName(group),
                        group.model() + ":" + group.version(),
                        group.epoch().value(),
                        members(group));
            }
        }
        return table;
    }

    static ArrayNode toJson(List<GroupAssignment> assignments) {
        ArrayNode groups = JsonNodeFactory.instance.arrayNode();
        for (GroupAssignment assignment : assignments) {
            for (Group group : assignment.groups()) {
                ObjectNode node = groups.addObject();
                node.put("id", group.id().value());
                node.put("service", group.service().value());
                node.put("failureDomain", assignment.failureDomain().value());
                node.put("state", stateName(group));
                node.put("model", group.model());
                node.put("version", group.version());
                node.put("epoch", group.epoch().value());
                ArrayNode members = node.putArray("members");
                group.members().forEach(member -> members.add(member.vm().value()));
            }
        }
        return groups;
    }

    private static String stateName(Group group) {
        return group.state().name().toLowerCase(Locale.ROOT);
    }

    private static String members(Group group) {
        return String.join(
                " ", group.members().stream().map(member -> member.vm().value()).toList());
    }
}
