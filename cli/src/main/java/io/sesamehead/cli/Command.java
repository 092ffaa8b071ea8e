package io.sesamehead.cli;

/** Subcommand whose option fields are set by JCommander. */
public interface Command {
    /**
     * Runs the command.
     *
     * @param console where to print the output
     * @return the exit code of the process
     * @throws CommandException if the command fails
     * @throws InterruptedException if the process is being stopped
     */
    ExitCode run(Console console) throws CommandException, InterruptedException;
}
