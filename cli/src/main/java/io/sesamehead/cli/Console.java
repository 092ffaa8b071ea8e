package io.sesamehead.cli;

import java.io.PrintStream;

/**
 * Output of a command.
 *
 * @param out stream for results, as text or JSON
 * @param err stream for errors, one line each
 */
public record Console(PrintStream out, PrintStream err) {
    /** Prefix of each error line. */
    private static final String ERROR_PREFIX = "sesamehead: ";

    /**
     * Prints one line of the result.
     *
     * @param line the line without a line separator
     */
    public void print(String line) {
        out.println(line);
    }

    /**
     * Prints one error. Line breaks are replaced by spaces so that each error is one line.
     *
     * @param message the error
     */
    public void error(String message) {
        err.println(ERROR_PREFIX + message.replaceAll("\\s*\\R\\s*", " "));
    }
}
