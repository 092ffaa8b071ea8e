package io.sesamehead.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.approvaltests.namer.NamedEnvironment;
import org.approvaltests.namer.NamerFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the output and exit codes on which operators' scripts depend. */
class CommandLineTest {
    @TempDir
    Path directory;

    @Test
    void helpListsEveryCommand() {
        Approvals.verify(TestRun.of("--help"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "daemon",
                "check-settings",
                "apply",
                "status",
                "groups",
                "drain",
                "report",
                "load",
                "stand-in",
                "stand-in platform",
                "stand-in engine",
                "stand-in service"
            })
    void helpDescribesTheOptionsOf(String command) {
        try (NamedEnvironment named = NamerFactory.withParameters(command.replace(' ', '-'))) {
            Approvals.verify(TestRun.of((command + " --help").split(" ")));
        }
    }

    /**
     * Each kind of invalid command line must exit with code 2, print one line that names the mistake, and refer to the
     * help.
     */
    @Test
    void wrongUsageIsToldInOneLineEach() {
        StringBuilder all = new StringBuilder();
        String[] lines = {
            "",
            "fly",
            "apply",
            "apply missing.ini",
            "apply note.ini --quick",
            "drain",
            "load",
            "load --daemons 127.0.0.1:1 --seconds 0 --rate -1 --order-share 2",
            "stand-in",
            "stand-in platform --address nowhere",
            "status --admin 127.0.0.1",
            "check-settings missing.ini"
        };
        for (String line : lines) {
            TestRun run = TestRun.of(line.isEmpty() ? new String[0] : line.split(" "));
            all.append("$ sesamehead ").append(line).append('\n').append(run.err());
            assertThat(run.code()).as(line).isEqualTo(ExitCode.WRONG_USAGE);
        }
        Approvals.verify(all);
    }

    /** All problems of a settings file must be reported in one run. */
    @Test
    void checkSettingsReportsAllProblemsAtOnce() throws IOException {
        Path file = directory.resolve("daemon.ini");
        Files.writeString(file, "[daemon]\nname = a\ncolour = red\n[lease]\nttl = 1s\ndrift = 1s\nlongest-order = 5\n");
        TestRun run = TestRun.of("check-settings", file.toString());
        Approvals.verify(run.toString().replace(directory.toString(), "DIR"));
    }
}
