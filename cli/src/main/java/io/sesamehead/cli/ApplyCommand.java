package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import io.sesamehead.cli.operator.AcceptedRelease;
import io.sesamehead.cli.operator.ReleaseDiff;
import io.sesamehead.cli.operator.WriteOutcome;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.settings.ReleaseNoteReader;
import io.sesamehead.daemon.settings.SettingProblem;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.state.Generation;
import io.sesamehead.state.ReleaseNote;
import java.util.Optional;

/** {@code apply}: makes a release note the accepted release and shows the changes. */
@Parameters(commandDescription = "Make a release note the accepted one, and show what it changes")
public final class ApplyCommand implements Command {
    @Parameter(description = "NOTE.ini", required = true)
    private String file;

    @Parameter(names = "--dry-run", description = "Show the changes and write nothing")
    private boolean dryRun;

    @Parameter(
            names = "--if-generation",
            description = "Refuse with a conflict unless this generation is in force; -1 accepts any")
    private long ifGeneration = -1;

    @Parameter(names = "--wait", description = "Wait until every daemon and group matches the note")
    private boolean wait;

    @Parameter(names = "--timeout", description = "Longest wait of --wait, in seconds")
    private int timeoutSeconds = 60;

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
    public ApplyCommand(JsonSource source) {
        this.source = source;
    }

    @Override
    public ExitCode run(Console console) throws CommandException, InterruptedException {
        String text = TextFileReader.read(file);
        ReleaseNote note = TextFileReader.parse(file, text, ReleaseNoteReader::read);
        if (wait) {
            adminOptions.addresses();
        }
        try (PlatformClient platform = platformOptions.open()) {
            ReleaseUpdater updater = new ReleaseUpdater(platform);
            AcceptedRelease accepted = updater.read();
            checkGenerationInForce(accepted);
            ReleaseDiff diff = compare(accepted, note);
            if (dryRun) {
                print(console, accepted.generation(), Optional.empty(), diff);
                return ExitCode.DONE;
            }
            ReleaseObject next = nextRelease(accepted, text);
            WriteOutcome.Accepted end = updater.write(accepted, next);
            print(console, accepted.generation(), Optional.of(end), diff);
            return wait ? awaitConvergence(console, platform, end.generation(), note) : ExitCode.DONE;
        }
    }

    private void checkGenerationInForce(AcceptedRelease accepted) throws CommandException {
        if (ifGeneration >= 0 && accepted.generation().value() != ifGeneration) {
            throw ReleaseUpdater.conflict(new Generation(ifGeneration), Optional.of(accepted.generation()));
        }
    }

    private ReleaseDiff compare(AcceptedRelease accepted, ReleaseNote note) throws CommandException {
        Optional<ReleaseNote> acceptedNote = ReleaseUpdater.note(accepted);
        if (acceptedNote.isEmpty()) {
            return ReleaseDiff.first(note);
        }
        ImmutableList<SettingProblem> problems = ReleaseNoteReader.findOmittedServices(acceptedNote.get(), note);
        if (!problems.isEmpty()) {
            throw new CommandException(
                    ExitCode.WRONG_USAGE,
                    problems.stream().map(problem -> file + ": " + problem).collect(ImmutableList.toImmutableList()));
        }
        return ReleaseDiff.between(acceptedNote.get(), note);
    }

    private static ReleaseObject nextRelease(AcceptedRelease accepted, String text) {
        return accepted.release()
                .map(release -> release.next(text, release.drained(), ReleaseUpdater.newToken()))
                .orElseGet(() -> ReleaseObject.first(text, ReleaseUpdater.newToken()));
    }

    private void print(Console console, Generation base, Optional<WriteOutcome.Accepted> end, ReleaseDiff diff) {
        if (json) {
            console.print(toJson(base, end, diff).toPrettyString());
            return;
        }
        if (diff.changes().isEmpty()) {
            console.print("the note changes nothing against generation " + base.value());
        } else {
            Table table = new Table("CHANGE", "SUBJECT", "DETAIL");
            diff.changes().forEach(change -> table.row(change.kind().label(), change.subject(), change.detail()));
            table.print(console);
        }
        console.print(outcome(base, end));
    }

    private static String outcome(Generation base, Optional<WriteOutcome.Accepted> end) {
        if (end.isEmpty()) {
            return "dry run: nothing was written; generation " + base.value() + " stays in force";
        }
        long own = end.get().generation().value();
        long current = end.get().current().value();
        String later = current > own ? "; generation " + current + " has followed it" : "";
        return "accepted as generation " + own + later;
    }

    private static ObjectNode toJson(Generation base, Optional<WriteOutcome.Accepted> end, ReleaseDiff diff) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("baseGeneration", base.value());
        node.put("dryRun", end.isEmpty());
        end.ifPresent(accepted -> node.put("generation", accepted.generation().value())
                .put("generationInForce", accepted.current().value()));
        ArrayNode changes = node.putArray("changes");
        diff.changes()
                .forEach(change -> changes.addObject()
                        .put("change", change.kind().label())
                        .put("subject", change.subject())
                        .put("detail", change.detail()));
        return node;
    }

    private ExitCode awaitConvergence(Console console, PlatformClient platform, Generation generation, ReleaseNote note)
            throws CommandException, InterruptedException {
        ConvergenceWaiter convergenceWaiter = new ConvergenceWaiter(source, adminOptions.addresses(), platform);
        ImmutableList<String> mismatches = convergenceWaiter.await(generation, note, timeoutSeconds * 1000L);
        if (mismatches.isEmpty()) {
            if (!json) {
                console.print("the fleet matches the note");
            }
            return ExitCode.DONE;
        }
        throw new CommandException(
                ExitCode.FAILED,
                ImmutableList.<String>builder()
                        .add("generation " + generation.value() + " is accepted, but after " + timeoutSeconds
                                + " s the fleet does not match it")
                        .addAll(mismatches)
                        .build());
    }
}
