package io.sesamehead.coordination.catalog;

import java.util.Optional;

/**
 * The active configuration of one daemon and the time of its last confirmation by the store. A configuration is never
 * replaced by an older one. A confirmation counts from the time at which the request was sent to the store, on a clock
 * that includes suspension: an answer that arrives after a suspension says nothing about changes after its request. Not
 * thread-safe.
 */
public final class ActiveConfig {
    private final long leaseMillis;
    private Optional<RouteTable> table = Optional.empty();
    private long confirmedAtMillis;

    /**
     * Creates an instance without a configuration.
     *
     * @param leaseMillis time for which API keys may be used after the last confirmation, in milliseconds
     */
    public ActiveConfig(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Returns the time for which API keys may be used after the last confirmation.
     *
     * @return the time, in milliseconds
     */
    public long leaseMillis() {
        return leaseMillis;
    }

    /**
     * Offers a configuration read from the store.
     *
     * @param config the configuration
     * @param requestedAtMillis time at which the request for it was sent, in milliseconds on the clock that includes
     *     suspension
     * @return true if it replaces the active configuration
     */
    public boolean offer(ServingConfig config, long requestedAtMillis) {
        if (table.isPresent() && config.version() < table.get().config().version()) {
            return false;
        }
        boolean newer =
                table.isEmpty() || config.version() > table.get().config().version();
        if (newer) {
            table = Optional.of(new RouteTable(config));
        }
        confirm(requestedAtMillis);
        return newer;
    }

    /**
     * Records that the store had no newer configuration.
     *
     * @param requestedAtMillis time at which the request was sent, in milliseconds on the clock that includes
     *     suspension
     */
    public void confirm(long requestedAtMillis) {
        confirmedAtMillis = Math.max(confirmedAtMillis, requestedAtMillis);
    }

    /**
     * Returns the route table of the active configuration.
     *
     * @return the table, or empty before the first configuration
     */
    public Optional<RouteTable> table() {
        return table;
    }

    /**
     * Returns whether the API keys of the active configuration may still be used.
     *
     * @param nowMillis current time on the clock that includes suspension, in milliseconds
     * @return true if the last confirmation is not older than the lease time
     */
    public boolean fresh(long nowMillis) {
        return table.isPresent() && ageMillis(nowMillis) <= leaseMillis;
    }

    /**
     * Returns the time since the last confirmation of the configuration.
     *
     * @param nowMillis current time on the clock that includes suspension, in milliseconds
     * @return the age, in milliseconds
     */
    public long ageMillis(long nowMillis) {
        return nowMillis - confirmedAtMillis;
    }
}
