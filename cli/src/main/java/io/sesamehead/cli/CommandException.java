package io.sesamehead.cli;

import com.google.common.collect.ImmutableList;

/** Ends a command with an exit code and error lines. */
public final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;
    private final ImmutableList<String> errors;

    /**
     * Creates a failure with one error line.
     *
     * @param exitCode exit code of the process
     * @param error what went wrong and, where it helps, what to do
     */
    public CommandException(ExitCode exitCode, String error) {
        this(exitCode, ImmutableList.of(error));
    }

    /**
     * Creates a failure with several error lines.
     *
     * @param exitCode exit code of the process
     * @param errors the lines
     */
    public CommandException(ExitCode exitCode, ImmutableList<String> errors) {
        super(String.join("; ", errors));
        this.exitCode = exitCode;
        this.errors = errors;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the exit code
     */
    public ExitCode exitCode() {
        return exitCode;
    }

    /**
     * Returns the error lines.
     *
     * @return at least one line
     */
    public ImmutableList<String> errors() {
        return errors;
    }
}
