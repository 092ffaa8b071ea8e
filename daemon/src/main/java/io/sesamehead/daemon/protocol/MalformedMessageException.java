package io.sesamehead.daemon.protocol;

/** Thrown when a message or stored object does not have the expected format. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message description of the error, with the name of the field
     */
    public MalformedMessageException(String message) {
        super(message);
    }
}
