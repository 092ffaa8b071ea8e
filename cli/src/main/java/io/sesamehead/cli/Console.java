package io.sesamehead.cli;

import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out results, for people or as JSON
 * @param err errors, one line each
 */
public record Console(PrintStream out, PrintStream err) {
    /** Prefix of each error line. */
    private static final String ERROR_PREFIX = "sesamehead: ";

    /**
     * Prints one line of the result.
     *
     * @param line the line, without a line end
     */
    public void print(String line) {
        out.println(line);
    }

    /**
     * Prints one error; line breaks within it become spaces so that each error stays one line.
     *
     * @param message the error
     */
    public void error(String message) {
        err.println(ERROR_PREFIX + message.replaceAll("\\s*\\R\\s*", " "));
    }
}
