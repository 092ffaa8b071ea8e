package io.sesamehead.cli;

import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Runs a command line in this process and keeps what it printed. */
record TestRun(ExitCode code, String out, String err) {
    static final JsonSource NO_DAEMONS = url -> {
        throw new IOException("connection refused");
    };

    static TestRun of(String... args) {
        return of(Main.commands(NO_DAEMONS), args);
    }

    static TestRun of(ImmutableMap<String, Command> commands, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        ExitCode code = new CommandLine(commands, console).run(args);
        return new TestRun(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** The whole result as one text for approval. */
    @Override
    public String toString() {
        return "exit code " + code.code() + "\n--- standard output\n" + out + "--- standard error\n" + err;
    }
}
