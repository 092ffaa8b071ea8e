package io.sesamehead.standin.platform;

/**
 * Settings of the platform stand-in.
 *
 * @param host address to bind
 * @param port port to bind, 0 for any free port
 * @param callsPerSecond maximum calls per second, with bursts of up to one second of calls; 0 for no limit
 * @param watchHistory number of changes kept for watches that start from an older version
 * @param nodeLagMillis delay in milliseconds until a change of the VM list becomes visible
 */
public record PlatformSettings(String host, int port, int callsPerSecond, int watchHistory, long nodeLagMillis) {
    private static final int DEFAULT_WATCH_HISTORY = 10_000;

    /**
     * Returns settings with no rate limit and no lag.
     *
     * @param host address to bind
     * @param port port to bind, 0 for any free port
     * @return the settings
     */
    public static PlatformSettings at(String host, int port) {
        return new PlatformSettings(host, port, 0, DEFAULT_WATCH_HISTORY, 0);
    }

    /**
     * Returns a copy with the given rate limit.
     *
     * @param calls maximum calls per second, 0 for no limit
     * @return the settings
     */
    public PlatformSettings withCallsPerSecond(int calls) {
        return new PlatformSettings(host, port, calls, watchHistory, nodeLagMillis);
    }
}
