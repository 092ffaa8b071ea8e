package io.sesamehead.cli;

import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Result of a command line that was run in this process, with its output. */
record TestRun(ExitCode code, String out, String err) {
    static final JsonSource UNREACHABLE_DAEMONS = url -> {
        throw new IOException("connection refused");
    };

    static TestRun of(String... args) {
        return of(Main.commands(UNREACHABLE_DAEMONS), args);
    }

    static TestRun of(ImmutableMap<String, Command> commands, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        ExitCode code = new CommandLine(commands, console).run(args);
        return new TestRun(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Formats the exit code and all output as one text for approval tests. */
    @Override
    public String toString() {
        return "exit code " + code.code() + "\n--- standard output\n" + out + "--- standard error\n" + err;
    }
}
