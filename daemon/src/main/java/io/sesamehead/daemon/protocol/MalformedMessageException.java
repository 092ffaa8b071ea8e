package io.sesamehead.daemon.protocol;

/** A message or stored object does not have the expected form. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong, with the name of the field
     */
    public MalformedMessageException(String message) {
        super(message);
    }
}
