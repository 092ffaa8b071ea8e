package io.sesamehead.cli;

/** One subcommand, whose fields JCommander has filled in. */
public interface Command {
    /**
     * Runs the command.
     *
     * @param console where to write
     * @return exit code of the process
     * @throws CommandException if the command cannot do what was asked
     * @throws InterruptedException if the process is being stopped
     */
    ExitCode run(Console console) throws CommandException, InterruptedException;
}
