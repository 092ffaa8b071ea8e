package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.sesamehead.daemon.runtime.DaemonProcess;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.settings.SettingsReader;

/** {@code daemon}: runs a daemon until it is stopped by a signal. */
@Parameters(commandDescription = "Run a daemon until SIGTERM; a second SIGTERM ends its graceful stop sooner")
public final class DaemonCommand implements Command {
    @Parameter(names = "--settings", required = true, description = "Settings file of the daemon")
    private String file;

    @Override
    public ExitCode run(Console console) throws CommandException {
        DaemonSettings settings = TextFileReader.parse(file, TextFileReader.read(file), SettingsReader::read);
        int exitStatus = DaemonProcess.run(settings);
        return exitStatus == 0 ? ExitCode.DONE : ExitCode.FAILED;
    }
}
