package io.sesamehead.cli;

/** Exit codes of the program. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command failed and changed nothing. */
    FAILED(1),
    /** The command line or a file that it names is invalid. */
    WRONG_USAGE(2),
    /** Another operator's change was accepted first. */
    CONFLICT(3),
    /** It is unknown whether the change took effect. */
    NOT_KNOWN(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the numeric exit code of the process.
     *
     * @return the exit code
     */
    public int code() {
        return code;
    }
}
