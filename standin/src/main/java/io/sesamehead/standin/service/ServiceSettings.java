package io.sesamehead.standin.service;

/**
 * Settings of the plain service stand-in.
 *
 * @param host address to bind
 * @param port port to bind, 0 for any free port
 * @param servesKeyQueries whether {@code GET /keys/{key}} is served
 * @param rejectsRepeats whether a key that was seen before is refused with the first result
 * @param callMillis time one execution takes
 */
public record ServiceSettings(String host, int port, boolean servesKeyQueries, boolean rejectsRepeats, long callMillis) {
    /**
     * Returns settings of a service that knows nothing of keys and answers at once.
     *
     * @param host address to bind
     * @param port port to bind, 0 for any free port
     * @return the settings
     */
    public static ServiceSettings at(String host, int port) {
        return new ServiceSettings(host, port, false, false, 0);
    }

    /**
     * Returns these settings with other support of keys.
     *
     * @param keyQueries whether results can be asked by key
     * @param rejects whether repeats are refused
     * @return the settings
     */
    public ServiceSettings withKeySupport(boolean keyQueries, boolean rejects) {
        return new ServiceSettings(host, port, keyQueries, rejects, callMillis);
    }
}
