package io.sesamehead.state;

import java.util.Objects;

/**
 * Address on which a process listens.
 *
 * @param host IP address
 * @param port TCP or UDP port, 1 to 65535
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Rejects ports out of range. */
    public Endpoint {
        Objects.requireNonNull(host, "host");
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("expected a port from 1 to 65535, found " + port);
        }
    }

    /**
     * Parses {@code host:port}.
     *
     * @param text the text
     * @return the endpoint
     * @throws IllegalArgumentException if the text is not of the form {@code host:port}
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("expected host:port, found " + text);
        }
        return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
