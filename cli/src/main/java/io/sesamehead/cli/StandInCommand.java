package io.sesamehead.cli;

import com.beust.jcommander.Parameters;

/** {@code stand-in}: parent of the stand-in subcommands. */
@Parameters(commandDescription = "Run a stand-in for an outside system: platform, engine or service")
public final class StandInCommand implements Command {
    @Override
    public ExitCode run(Console console) throws CommandException {
        throw new CommandException(ExitCode.WRONG_USAGE, "stand-in: expected platform, engine or service");
    }
}
