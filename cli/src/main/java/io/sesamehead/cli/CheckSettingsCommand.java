package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.settings.SettingsReader;

/** {@code check-settings}: validates a settings file without starting a daemon. */
@Parameters(commandDescription = "Check the settings file of a daemon and report every problem")
public final class CheckSettingsCommand implements Command {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public ExitCode run(Console console) throws CommandException {
        DaemonSettings settings = TextFileReader.parse(file, TextFileReader.read(file), SettingsReader::read);
        console.print(file + ": settings of daemon " + settings.daemon().name().value() + " in failure domain "
                + settings.daemon().failureDomain().value() + " are valid");
        return ExitCode.DONE;
    }
}
