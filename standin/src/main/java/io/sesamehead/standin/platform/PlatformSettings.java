package io.sesamehead.standin.platform;

/**
 * Settings of the platform stand-in.
 *
 * @param host address to bind
 * @param port port to bind, 0 for any free port
 * @param callsPerSecond calls answered each second (one second's worth may come at once), 0 for no limit
 * @param watchHistory changes kept for watches that start from an older version
 * @param nodeLagMillis time until a change of the VM list becomes visible
 */
public record PlatformSettings(String host, int port, int callsPerSecond, int watchHistory, long nodeLagMillis) {
    private static final int DEFAULT_WATCH_HISTORY = 10_000;

    /**
     * Returns settings without rate limit and lag.
     *
     * @param host address to bind
     * @param port port to bind, 0 for any free port
     * @return the settings
     */
    public static PlatformSettings at(String host, int port) {
        return new PlatformSettings(host, port, 0, DEFAULT_WATCH_HISTORY, 0);
    }

    /**
     * Returns these settings with another rate limit.
     *
     * @param calls calls per second, 0 for no limit
     * @return the settings
     */
    public PlatformSettings withCallsPerSecond(int calls) {
        return new PlatformSettings(host, port, calls, watchHistory, nodeLagMillis);
    }
}
