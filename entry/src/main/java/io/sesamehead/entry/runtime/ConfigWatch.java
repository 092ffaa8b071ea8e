package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.StoreRevision;

/**
 * Keeps the active configuration up to date. Each response from the store, including an empty one, renews the daemon's
 * lease on the API keys as of the time when the request was sent, unless the store is known to lack a newer version.
 */
final class ConfigWatch {
    /**
     * Maximum wait of a watch request, in milliseconds. The wait plus the response time stays below the time in which a
     * configuration must become active; with older data, unknown routes and keys are not denied.
     */
    private static final long WATCH_TIMEOUT_MILLIS = 900;
    /** Fraction of a full wait that an empty response confirms. The store's clock may run slightly fast. */
    private static final double CONFIRMED_WAIT_FRACTION = 0.95;
    /** Delay after a failed request, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;
    /** Retry delay with relays, in milliseconds. Keeps the request rate of all daemons below the store's limit. */
    private static final long RELAYED_RETRY_DELAY_MILLIS = 600;
    /** Fraction of the convergence time for which a confirmation from another daemon is valid. */
    private static final double RELAYED_CONVERGENCE_FRACTION = 0.85;
    /** Fraction of the key lease for which such a confirmation is valid. The rest is time to query the store. */
    private static final double RELAYED_LEASE_FRACTION = 0.75;
    /** Interval of checks that the relay is still reporting, in milliseconds. About its report interval. */
    private static final long RELAY_CHECK_INTERVAL_MILLIS = 200;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final String TASK = "config-watch";

    private final RequestSequence sequence;
    private final Clocks clocks;
    private final ObjectStore store;
    private final ActiveConfig activeConfig;
    private final long maxRelayedAgeMillis;
    private final EventLog log;
    private final Runnable onChange;
    private boolean storeReachable;
    private boolean relayReportReceived;
    private long relayConfirmedAtMillis = NEVER;

    ConfigWatch(
            EventLoop loop,
            Clocks clocks,
            ObjectStore store,
            ActiveConfig activeConfig,
            long convergeMillis,
            EventLog log,
            Runnable onChange) {
        this.sequence = new RequestSequence(new EventLoopTasks(loop, log), TASK, this::scheduleRetry);
        this.clocks = clocks;
        this.store = store;
        this.activeConfig = activeConfig;
        this.maxRelayedAgeMillis = (long) Math.min(
                convergeMillis * RELAYED_CONVERGENCE_FRACTION, activeConfig.leaseMillis() * RELAYED_LEASE_FRACTION);
        this.log = log;
        this.onChange = onChange;
    }

    void start() {
        listNow();
    }

    /** Handles a rise of the store's era: its content is unknown until it is read again. */
    void onStoreRestored() {
        activeConfig.recordRestore();
        relayConfirmedAtMillis = NEVER;
        listNow();
    }

    /** Reads the store now, instead of what is pending. */
    private void listNow() {
        sequence.restart(this::list);
    }

    /**
     * Handles a relay's confirmation of the active version.
     *
     * @param version the version
     * @param asOfMillis when the store was queried, on the clock of {@link Clocks#bootMillis()}
     */
    void onRelayedVersion(long version, long asOfMillis) {
        if (activeConfig.recordReported(version, clocks.bootMillis())) {
            relayConfirmedAtMillis = NEVER;
            listNow();
        } else if (version > 0 && version == activeConfig.version() && activeConfig.isStoreCurrent()) {
            relayReportReceived = true;
            relayConfirmedAtMillis = Math.max(relayConfirmedAtMillis, asOfMillis);
            activeConfig.confirm(asOfMillis);
        }
    }

    /** Sends no requests to the store until the relay stops reporting or reports a newer version. */
    private void followRelay() {
        if (confirmedByRelay()) {
            sequence.schedule(this::followRelay, RELAY_CHECK_INTERVAL_MILLIS);
        } else {
            list();
        }
    }

    private boolean confirmedByRelay() {
        return clocks.bootMillis() - relayConfirmedAtMillis <= maxRelayedAgeMillis;
    }

    private void list() {
        long requestedAtMillis = clocks.bootMillis();
        store.list(
                ObjectKind.CONFIGURATION,
                false,
                sequence.callback(
                        (StoreResult<Listing<ServingConfig>> answer) -> onListing(answer, requestedAtMillis)));
    }

    private void onListing(StoreResult<Listing<ServingConfig>> answer, long requestedAtMillis) {
        if (!(answer instanceof StoreResult.Ok<Listing<ServingConfig>>(Listing<ServingConfig> listing))) {
            retryListing(answer);
            return;
        }
        recordStoreReachable();
        listing.objects().forEach(object -> apply(object, requestedAtMillis));
        activeConfig.confirm(requestedAtMillis);
        watch(listing.revision());
    }

    private void watch(StoreRevision since) {
        if (confirmedByRelay()) {
            followRelay();
            return;
        }
        long requestedAtMillis = clocks.bootMillis();
        store.watch(
                ObjectKind.CONFIGURATION,
                since,
                WATCH_TIMEOUT_MILLIS,
                sequence.callback(
                        (StoreResult<ChangeBatch<ServingConfig>> answer) -> onChanges(answer, requestedAtMillis)));
    }

    private void onChanges(StoreResult<ChangeBatch<ServingConfig>> answer, long requestedAtMillis) {
        if (!(answer instanceof StoreResult.Ok<ChangeBatch<ServingConfig>>(ChangeBatch<ServingConfig> changes))) {
            retryListing(answer);
            return;
        }
        for (ChangeBatch.Change<ServingConfig> change : changes.changes()) {
            if (!change.deleted()) {
                apply(change.object(), requestedAtMillis);
            }
        }
        activeConfig.confirm(requestedAtMillis + confirmedWaitMillis(changes, clocks.bootMillis() - requestedAtMillis));
        watch(changes.revision());
    }

    /** An empty response after the full wait confirms that nothing changed while the store waited. */
    private static long confirmedWaitMillis(ChangeBatch<ServingConfig> changes, long elapsedMillis) {
        boolean waited = changes.changes().isEmpty() && elapsedMillis >= WATCH_TIMEOUT_MILLIS;
        return waited ? (long) (WATCH_TIMEOUT_MILLIS * CONFIRMED_WAIT_FRACTION) : 0;
    }

    private void apply(StoredObject<ServingConfig> object, long requestedAtMillis) {
        if (object.content().isEmpty()) {
            log.write(
                    EventLog.Component.CONFIG,
                    "unreadable",
                    "object",
                    object.name(),
                    "revision",
                    object.revision().number());
            activeConfig.recordUnreadable();
            return;
        }
        ServingConfig config = object.content().get();
        if (activeConfig.offer(config, object.revision(), requestedAtMillis)) {
            log.write(
                    EventLog.Component.CONFIG,
                    "in-force",
                    "version",
                    config.version(),
                    "routes",
                    config.routes().size(),
                    "keys",
                    config.tenantsByKey().size(),
                    "revision",
                    object.revision().number());
            onChange.run();
        }
    }

    private void retryListing(Object answer) {
        if (storeReachable && !(answer instanceof StoreResult.HistoryExpired<?>)) {
            storeReachable = false;
            log.write(
                    EventLog.Component.CONFIG,
                    "store-lost",
                    "answer",
                    answer,
                    "age_ms",
                    activeConfig.ageMillis(clocks.bootMillis()));
        }
        scheduleRetry();
    }

    private void scheduleRetry() {
        long delayMillis = relayReportReceived ? RELAYED_RETRY_DELAY_MILLIS : RETRY_DELAY_MILLIS;
        sequence.schedule(this::followRelay, delayMillis);
    }

    private void recordStoreReachable() {
        if (!storeReachable) {
            storeReachable = true;
            log.write(EventLog.Component.CONFIG, "store-reached");
        }
    }
}
