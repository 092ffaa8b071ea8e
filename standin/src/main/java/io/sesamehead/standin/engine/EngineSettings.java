package io.sesamehead.standin.engine;

/**
 * Settings of the engine stand-in.
 *
 * @param host address to bind
 * @param port port to bind, 0 for any free port
 * @param vm name of the VM that the engine runs on
 * @param checksFencing whether orders with an epoch below the highest one received are rejected
 * @param loadMillis time to load a model in milliseconds
 * @param tokenMillis time between two tokens in milliseconds
 * @param slots maximum number of concurrent streams; further ones are queued
 * @param loadSampleMillis interval in milliseconds between two samples of the load in the status report
 * @param memberPollMillis interval in milliseconds between two probes of the members by the head
 * @param memberTimeoutMillis timeout in milliseconds after which the head treats an unresponsive member as missing
 * @param exitOnCrash whether an injected crash exits the process; otherwise only the server stops
 */
public record EngineSettings(
        String host,
        int port,
        String vm,
        boolean checksFencing,
        long loadMillis,
        long tokenMillis,
        int slots,
        long loadSampleMillis,
        long memberPollMillis,
        long memberTimeoutMillis,
        boolean exitOnCrash) {
    /**
     * Returns the default settings: no fencing, 200 ms to load, 5 ms between tokens, load sampled every 200 ms, members
     * probed every 100 ms with a timeout of 300 ms, and 16 concurrent streams.
     *
     * @param host address to bind
     * @param port port to bind, 0 for any free port
     * @param vm name of the VM
     * @return the settings
     */
    public static EngineSettings at(String host, int port, String vm) {
        return new EngineSettings(host, port, vm, false, 200, 5, 16, 200, 100, 300, false);
    }

    /**
     * Returns a copy with fencing enabled or disabled.
     *
     * @param checks whether orders with a stale epoch are rejected
     * @return the settings
     */
    public EngineSettings withFencing(boolean checks) {
        return new EngineSettings(
                host,
                port,
                vm,
                checks,
                loadMillis,
                tokenMillis,
                slots,
                loadSampleMillis,
                memberPollMillis,
                memberTimeoutMillis,
                exitOnCrash);
    }

    /**
     * Returns a copy with the given latencies.
     *
     * @param load time to load a model in milliseconds
     * @param token time between two tokens in milliseconds
     * @return the settings
     */
    public EngineSettings withLatencies(long load, long token) {
        return new EngineSettings(
                host,
                port,
                vm,
                checksFencing,
                load,
                token,
                slots,
                loadSampleMillis,
                memberPollMillis,
                memberTimeoutMillis,
                exitOnCrash);
    }

    /**
     * Returns a copy for an engine in its own process, which an injected crash exits.
     *
     * @return the settings
     */
    public EngineSettings withExitOnCrash() {
        return new EngineSettings(
                host,
                port,
                vm,
                checksFencing,
                loadMillis,
                tokenMillis,
                slots,
                loadSampleMillis,
                memberPollMillis,
                memberTimeoutMillis,
                true);
    }
}
