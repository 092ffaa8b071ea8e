package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.cli.operator.AcceptedRelease;
import io.sesamehead.cli.operator.DaemonStatus;
import io.sesamehead.cli.operator.FleetReader;
import io.sesamehead.cli.operator.ReleaseDiff;
import io.sesamehead.cli.operator.ReleaseWriter;
import io.sesamehead.cli.operator.ServiceStatus;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.ReleaseNote;
import java.util.List;

/** {@code status}: shows the desired and actual state of groups, and the generation on each daemon. */
@Parameters(commandDescription = "Show what the accepted note asks beside what is, and the generation at each daemon")
public final class StatusCommand implements Command {
    @Parameter(names = "--json", description = "Print JSON")
    private boolean json;

    @ParametersDelegate
    private final PlatformOptions platformOptions = new PlatformOptions();

    @ParametersDelegate
    private final AdminOptions adminOptions = new AdminOptions();

    private final JsonSource source;

    /**
     * Creates the command.
     *
     * @param source reads the admin ports of daemons
     */
    public StatusCommand(JsonSource source) {
        this.source = source;
    }

    /**
     * Content of the output.
     *
     * @param accepted the accepted release
     * @param statuses desired and actual groups of the model services
     * @param assignments groups of all failure domains
     * @param daemons status of each daemon
     */
    record View(
            AcceptedRelease accepted,
            List<ServiceStatus> statuses,
            List<GroupAssignment> assignments,
            List<DaemonStatus> daemons) {}

    @Override
    public ExitCode run(Console console) throws CommandException, InterruptedException {
        List<String> addresses = adminOptions.addresses();
        try (PlatformClient platform = platformOptions.open()) {
            AcceptedRelease accepted = new ReleaseUpdater(platform).read();
            List<GroupAssignment> assignments = new FleetReader(platform).assignments();
            ReleaseNote note = ReleaseUpdater.note(accepted).orElse(ReleaseDiff.EMPTY_NOTE);
            View view = new View(
                    accepted,
                    ServiceStatus.compare(note, assignments),
                    assignments,
                    DaemonStatusReader.read(source, addresses));
            if (json) {
                console.print(toJson(view).toPrettyString());
            } else {
                print(view, console);
            }
            return ExitCode.DONE;
        } catch (ReleaseWriter.ReadException e) {
            throw new CommandException(ExitCode.FAILED, e.getMessage());
        }
    }

    static void print(View view, Console console) {
        long generation = view.accepted().generation().value();
        console.print("generation " + generation + " is accepted"
                + view.accepted()
                        .release()
                        .filter(release -> !release.drained().isEmpty())
                        .map(release -> "; drained VMs: " + release.drained())
                        .orElse(""));
        console.print("");
        Table services = new Table(
                "SERVICE", "FAILURE DOMAIN", "ASKED", "SERVING", "FORMING", "BROKEN", "RELEASING", "OTHER", "MATCH");
        view.statuses()
                .forEach(status -> services.row(
                        status.service().value(),
                        status.failureDomain().value(),
                        status.desired(),
                        status.serving(),
                        status.forming(),
                        status.broken(),
                        status.releasing(),
                        status.otherVersion(),
                        status.converged() ? "yes" : "no"));
        services.print(console);
        console.print("");
        GroupsCommand.table(view.assignments()).print(console);
        console.print("");
        Table daemons = new Table("DAEMON", "FAILURE DOMAIN", "GENERATION", "READY", "SENDS TO", "NOTE");
        view.daemons()
                .forEach(daemon -> daemons.row(
                        daemon.answered() ? daemon.daemon() : daemon.address(),
                        daemon.failureDomain(),
                        daemon.answered() ? daemon.generation() : "-",
                        daemon.ready() ? "yes" : "no",
                        servingCount(daemon) + " groups",
                        note(daemon, generation)));
        daemons.print(console);
    }

    private static long servingCount(DaemonStatus daemon) {
        return daemon.serving().values().stream().filter(serves -> serves).count();
    }

    private static String note(DaemonStatus daemon, long generation) {
        if (!daemon.answered()) {
            return "does not answer";
        }
        return daemon.generation() < generation ? "behind" : "in force";
    }

    static ObjectNode toJson(View view) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("generation", view.accepted().generation().value());
        ArrayNode drained = node.putArray("drained");
        view.accepted().release().ifPresent(release -> release.drained().forEach(vm -> drained.add(vm.value())));
        ArrayNode services = node.putArray("services");
        for (ServiceStatus status : view.statuses()) {
            services.addObject()
                    .put("service", status.service().value())
                    .put("failureDomain", status.failureDomain().value())
                    .put("asked", status.desired())
                    .put("version", status.version())
                    .put("serving", status.serving())
                    .put("forming", status.forming())
                    .put("broken", status.broken())
                    .put("releasing", status.releasing())
                    .put("otherVersion", status.otherVersion())
                    .put("matches", status.converged());
        }
        node.set("groups", GroupsCommand.toJson(view.assignments()));
        ArrayNode daemons = node.putArray("daemons");
        for (DaemonStatus daemon : view.daemons()) {
            ObjectNode item = daemons.addObject()
                    .put("address", daemon.address())
                    .put("answered", daemon.answered())
                    .put("detail", daemon.detail())
                    .put("daemon", daemon.daemon())
                    .put("failureDomain", daemon.failureDomain())
                    .put("ready", daemon.ready())
                    .put("generation", daemon.generation());
            ObjectNode serving = item.putObject("serving");
            daemon.serving().forEach(serving::put);
        }
        return node;
    }
}
