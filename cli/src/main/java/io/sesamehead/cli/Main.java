package io.sesamehead.cli;

import com.google.common.collect.ImmutableMap;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Entry point of the one binary. */
public final class Main {
    private Main() {}

    /**
     * Runs one subcommand and ends the process with its exit code.
     *
     * @param args command line
     */
    public static void main(String[] args) {
        Console console = new Console(stream(FileDescriptor.out), stream(FileDescriptor.err));
        ExitCode code = new CommandLine(commands(), console).run(args);
        console.out().flush();
        System.exit(code.code());
    }

    private static PrintStream stream(FileDescriptor descriptor) {
        return new PrintStream(new FileOutputStream(descriptor), true, StandardCharsets.UTF_8);
    }

    /** The commands in the order of the help text. */
    static ImmutableMap<String, Command> commands() {
        JsonSource source = new HttpJsonSource();
        return ImmutableMap.<String, Command>builder()
                .put("load", new LoadCommand((prompt, index) -> "", source))
                .put("stand-in", new StandInCommand())
                .put("stand-in platform", new StandInPlatformCommand())
                .buildOrThrow();
    }
}
