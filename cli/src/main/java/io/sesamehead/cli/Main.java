package io.sesamehead.cli;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.standin.engine.TokenSource;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.tinylog.configuration.Configuration;

/** Entry point of the program, which contains all subcommands. */
public final class Main {
    private Main() {}

    /**
     * Runs a subcommand and exits the process with its exit code.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        if (args.length == 0 || !args[0].equals("daemon")) {
            logWarningsOnly();
        }
        Console console = new Console(stream(FileDescriptor.out), stream(FileDescriptor.err));
        ExitCode code = new CommandLine(commands(new HttpJsonSource()), console).run(args);
        console.out().flush();
        System.exit(code.code());
    }

    /**
     * Limits the log output of libraries to warnings on standard error for commands other than {@code daemon}, which
     * sets its own log level.
     */
    private static void logWarningsOnly() {
        Configuration.set("level", "warn");
        Configuration.set("writer", "console");
        Configuration.set("writer.stream", "err");
        Configuration.set("writer.format", "{date: HH:mm:ss.SSS} {level} {message}");
    }

    private static PrintStream stream(FileDescriptor descriptor) {
        return new PrintStream(new FileOutputStream(descriptor), true, StandardCharsets.UTF_8);
    }

    /** Returns the commands in the order of the help text. */
    static ImmutableMap<String, Command> commands(JsonSource source) {
        return ImmutableMap.<String, Command>builder()
                .put("daemon", new DaemonCommand())
                .put("check-settings", new CheckSettingsCommand())
                .put("apply", new ApplyCommand(source))
                .put("status", new StatusCommand(source))
                .put("groups", new GroupsCommand())
                .put("drain", new DrainCommand())
                .put("report", new ReportCommand(source))
                .put("explain", new ExplainCommand())
                .put("load", new LoadCommand(TokenSource::token, source))
                .put("stand-in", new StandInCommand())
                .put("stand-in platform", new StandInPlatformCommand())
                .put("stand-in engine", new StandInEngineCommand())
                .put("stand-in service", new StandInServiceCommand())
                .buildOrThrow();
    }
}
