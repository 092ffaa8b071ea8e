package io.sesamehead.cli;

import com.google.common.collect.ImmutableList;

/** Thrown to end a command with an exit code and error lines. */
public final class CommandException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;
    private final ImmutableList<String> errors;

    /**
     * Creates an exception with one error line.
     *
     * @param exitCode exit code of the process
     * @param error what went wrong and, if useful, how to fix it
     */
    public CommandException(ExitCode exitCode, String error) {
        this(exitCode, ImmutableList.of(error));
    }

    /**
     * Creates an exception with several error lines.
     *
     * @param exitCode exit code of the process
     * @param errors the error lines
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
