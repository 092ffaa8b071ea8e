package io.sesamehead.coordination.catalog;

import io.sesamehead.state.StoreRevision;
import java.util.Optional;

/**
 * The active configuration of one daemon and the time of its last confirmation by the store. A configuration is never
 * replaced by an older version. A confirmation counts from the time at which the request was sent to the store, on a
 * clock that includes suspension: an answer that arrives after a suspension says nothing about changes after its
 * request.
 *
 * <p>A store that was restored from a copy can hold an older version than this daemon or another one has read from it.
 * Such a store confirms nothing until its operators have written again what it lost. Not thread-safe.
 */
public final class ActiveConfig {
    private final long leaseMillis;
    private Optional<RouteTable> table = Optional.empty();
    private StoreRevision revision = StoreRevision.NONE;
    private long confirmedAtMillis;
    private long storedVersion;
    private long reportedVersion;
    private long reportedAtMillis;
    private boolean superseded;

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
     * Offers a configuration read from the store. It replaces an older version, and the same version with other content
     * if it was written later: the operators of a restored store can assign a version again.
     *
     * @param config the configuration
     * @param writtenAt revision of the store at which it was written
     * @param requestedAtMillis time at which the request for it was sent, in milliseconds on the clock that includes
     *     suspension
     * @return true if it replaces the active configuration
     */
    public boolean offer(ServingConfig config, StoreRevision writtenAt, long requestedAtMillis) {
        storedVersion = config.version();
        boolean replaces = replacesActive(config, writtenAt);
        if (replaces) {
            table = Optional.of(new RouteTable(config));
        }
        if (config.version() == version()) {
            revision = writtenAt;
        }
        superseded &= version() < reportedVersion;
        confirm(requestedAtMillis);
        return replaces;
    }

    private boolean replacesActive(ServingConfig config, StoreRevision writtenAt) {
        if (table.isEmpty() || config.version() > version()) {
            return true;
        }
        return config.version() == version()
                && writtenAt.compareTo(revision) > 0
                && !config.equals(table.get().config());
    }

    /**
     * Records that the store had no newer configuration than the one last read from it. This confirms the active one
     * unless the store's is older, or older than a version reported by another daemon. If only another daemon has the
     * newer version, the active one is known to be superseded.
     *
     * @param requestedAtMillis time at which the request was sent, in milliseconds on the clock that includes
     *     suspension
     */
    public void confirm(long requestedAtMillis) {
        if (isStoreCurrent()) {
            confirmedAtMillis = Math.max(confirmedAtMillis, requestedAtMillis);
        } else if (version() < reportedVersion && requestedAtMillis >= reportedAtMillis) {
            superseded = true;
        }
    }

    /**
     * Returns whether the store held the newest known version when it was last read in its present era. Only then does
     * an answer without changes, from the store or through another daemon, confirm the active configuration.
     *
     * @return true if the version read from the store is neither below the active nor below a reported one
     */
    public boolean isStoreCurrent() {
        return storedVersion >= version() && storedVersion >= reportedVersion;
    }

    /**
     * Records a version that another daemon has read from the store.
     *
     * @param version the version
     * @param nowMillis current time on the clock that includes suspension, in milliseconds
     * @return true if it is newer than all versions known before, so that the store should be read
     */
    public boolean recordReported(long version, long nowMillis) {
        if (version <= version() || version <= reportedVersion) {
            return false;
        }
        reportedVersion = version;
        reportedAtMillis = nowMillis;
        return true;
    }

    /** Records that the store's configuration cannot be read. It may be newer than the active one, and confirms nothing. */
    public void recordUnreadable() {
        storedVersion = 0;
    }

    /** Records that the store was restored from a copy: what it holds now is unknown until it is read again. */
    public void recordRestore() {
        storedVersion = 0;
    }

    /**
     * Returns the highest version that this daemon or one that reported to it has read from the store.
     *
     * @return the version, or 0 before the first
     */
    public long highestKnownVersion() {
        return Math.max(version(), reportedVersion);
    }

    /**
     * Returns the version of the active configuration.
     *
     * @return the version, or 0 before the first configuration
     */
    public long version() {
        return table.map(active -> active.config().version()).orElse(0L);
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
        return isConfirmedWithin(leaseMillis, nowMillis);
    }

    /**
     * Returns whether the active configuration was the newest a given time ago. False if another daemon has read a newer
     * version that the store has lost.
     *
     * @param maxAgeMillis the time, in milliseconds
     * @param nowMillis current time on the clock that includes suspension, in milliseconds
     * @return true if the last confirmation is not older than that
     */
    public boolean isConfirmedWithin(long maxAgeMillis, long nowMillis) {
        return table.isPresent() && !superseded && ageMillis(nowMillis) <= maxAgeMillis;
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
