package io.sesamehead.standin.engine;

/**
 * Settings of the engine stand-in.
 *
 * @param host address to bind
 * @param port port to bind, 0 for any free port
 * @param vm name of the VM it runs on
 * @param checksFencing whether orders with an epoch below the highest seen are refused
 * @param loadMillis time to load a model
 * @param tokenMillis time between two tokens
 * @param slots streams that run at the same time; further ones wait
 * @param loadSampleMillis time between two samples of the load that the status reports
 * @param memberPollMillis time between two checks of a member by the head
 * @param memberTimeoutMillis time after which the head counts a silent member as missing
 * @param exitOnCrash whether a crash ends the process; otherwise only the server stops
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
     * Returns settings with the usual times: 200 ms to load, 5 ms between tokens, load sampled every 200 ms, members
     * checked every 100 ms with a timeout of 300 ms, and 16 streams at a time.
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
     * Returns these settings with or without fencing.
     *
     * @param checks whether old epochs are refused
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
     * Returns these settings with other times.
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
     * Returns these settings for a process of its own, which a crash ends.
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
