package io.sesamehead.standin.service;

/**
 * Settings of the plain service stand-in.
 *
 * @param host address to bind
 * @param port port to bind, 0 for any free port
 * @param servesKeyQueries whether {@code GET /keys/{key}} is served
 * @param rejectsRepeats whether a call with a repeated key is rejected with the first result
 * @param callMillis duration of one execution in milliseconds
 */
public record ServiceSettings(
        String host, int port, boolean servesKeyQueries, boolean rejectsRepeats, long callMillis) {
    /**
     * Returns settings of a service that ignores idempotency keys and responds immediately.
     *
     * @param host address to bind
     * @param port port to bind, 0 for any free port
     * @return the settings
     */
    public static ServiceSettings at(String host, int port) {
        return new ServiceSettings(host, port, false, false, 0);
    }

    /**
     * Returns a copy with the given support for idempotency keys.
     *
     * @param keyQueries whether results can be queried by key
     * @param rejects whether repeated keys are rejected
     * @return the settings
     */
    public ServiceSettings withKeySupport(boolean keyQueries, boolean rejects) {
        return new ServiceSettings(host, port, keyQueries, rejects, callMillis);
    }
}
