package io.sesamehead.coordination.catalog;

import java.util.Optional;

/**
 * The configuration in force at one daemon and how recent its knowledge of it is. A configuration never gives way to an
 * older one. Confirmations carry the moment at which the store was asked, on a clock that counts suspension: an answer
 * that arrives after a suspension proves nothing newer than its question. Not thread-safe.
 */
public final class ActiveConfig {
    private final long leaseMillis;
    private Optional<RouteTable> table = Optional.empty();
    private long confirmedAtMillis;

    /**
     * Creates a gate without a configuration.
     *
     * @param leaseMillis how long keys may be used after the last confirmation, in milliseconds
     */
    public ActiveConfig(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Returns how long keys may be used after the last confirmation.
     *
     * @return the time, in milliseconds
     */
    public long leaseMillis() {
        return leaseMillis;
    }

    /**
     * Takes a configuration from the store.
     *
     * @param config the configuration
     * @param requestedAtMillis when the store was asked for it, on the clock that counts suspension
     * @return true if it replaces the one in force
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
     * Records that the store had nothing newer.
     *
     * @param requestedAtMillis when it was asked, on the clock that counts suspension
     */
    public void confirm(long requestedAtMillis) {
        confirmedAtMillis = Math.max(confirmedAtMillis, requestedAtMillis);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the table, or empty before the first configuration
     */
    public Optional<RouteTable> table() {
        return table;
    }

    /**
     * Tells whether keys of the configuration in force may still be used.
     *
     * @param nowMillis present time on the clock that counts suspension
     * @return true within the lease after the last confirmation
     */
    public boolean fresh(long nowMillis) {
        return table.isPresent() && ageMillis(nowMillis) <= leaseMillis;
    }

    /**
     * Returns how old the knowledge of the configuration is.
     *
     * @param nowMillis present time on the clock that counts suspension
     * @return the age, in milliseconds
     */
    public long ageMillis(long nowMillis) {
        return nowMillis - confirmedAtMillis;
    }
}
