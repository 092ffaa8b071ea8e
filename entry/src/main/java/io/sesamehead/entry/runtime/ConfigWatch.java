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
import java.util.concurrent.TimeUnit;

/**
 * Keeps the configuration in force up to date. Each answer of the store, also an empty one, renews the daemon's right to
 * use the keys, as of the moment at which the store was asked.
 */
final class ConfigWatch {
    /**
     * Longest wait of one watch, in milliseconds. With the time for its answer it stays below the time in which a
     * configuration takes force: beyond it, unknown routes and keys are not denied.
     */
    private static final long WATCH_MILLIS = 900;
    /** Part of a full wait that an empty answer proves: the store's clock may run a little fast. */
    private static final double PROVED_PART = 0.95;
    /** Pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 150;
    /** The same in a deployment with relays, in milliseconds: together the daemons stay below the store's rate. */
    private static final long RELAYED_RETRY_MILLIS = 600;
    /** Part of the time in which a configuration takes force up to which the word of another daemon is relied on. */
    private static final double TOLD_PART_OF_CONVERGENCE = 0.85;
    /** Part of the lease on keys up to which it is relied on: the rest is time to ask the store. */
    private static final double TOLD_PART_OF_LEASE = 0.75;
    /** Interval of looking whether a relay still tells, in milliseconds: about that of its reports. */
    private static final long LOOK_MILLIS = 200;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private final Clocks clocks;
    private final ObjectStore store;
    private final ActiveConfig gate;
    private final long toldMillis;
    private final EventLog log;
    private final Runnable onChange;
    private boolean reachable;
    private boolean relaysHeard;
    private long relayedAsOf = NEVER;

    ConfigWatch(
            EventLoop loop,
            Clocks clocks,
            ObjectStore store,
            ActiveConfig gate,
            long convergeMillis,
            EventLog log,
            Runnable onChange) {
        this.loop = loop;
        this.clocks = clocks;
        this.store = store;
        this.gate = gate;
        this.toldMillis =
                (long) Math.min(convergeMillis * TOLD_PART_OF_CONVERGENCE, gate.leaseMillis() * TOLD_PART_OF_LEASE);
        this.log = log;
        this.onChange = onChange;
    }

    void start() {
        list();
    }

    /**
     * Takes a relay's word that a version is in force.
     *
     * @param version the version
     * @param asOfMillis when the store was asked, on the clock that counts suspension
     */
    void relayed(long version, long asOfMillis) {
        long own = gate.table().map(table -> table.config().version()).orElse(0L);
        if (version == own && own > 0) {
            relaysHeard = true;
            relayedAsOf = Math.max(relayedAsOf, asOfMillis);
            gate.confirm(asOfMillis);
        } else if (version > own) {
            relayedAsOf = NEVER;
        }
    }

    /** Leaves the store alone until the relay falls silent or tells of a newer version. */
    private void followRelay() {
        if (relayed()) {
            loop.schedule(this::followRelay, LOOK_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            list();
        }
    }

    private boolean relayed() {
        return clocks.bootMillis() - relayedAsOf <= toldMillis;
    }

    private void list() {
        long askedAt = clocks.bootMillis();
        store.list(ObjectKind.CONFIGURATION, false, answer -> onListing(answer, askedAt));
    }

    private void onListing(StoreResult<Listing<ServingConfig>> answer, long askedAt) {
        if (!(answer instanceof StoreResult.Ok<Listing<ServingConfig>>(Listing<ServingConfig> listing))) {
            retryListing(answer);
            return;
        }
        noteReachable();
        listing.objects().forEach(object -> take(object, askedAt));
        gate.confirm(askedAt);
        watch(listing.revision());
    }

    private void watch(long revision) {
        if (relayed()) {
            followRelay();
            return;
        }
        long askedAt = clocks.bootMillis();
        store.watch(ObjectKind.CONFIGURATION, revision, WATCH_MILLIS, answer -> onChanges(answer, askedAt));
    }

    private void onChanges(StoreResult<ChangeBatch<ServingConfig>> answer, long askedAt) {
        if (!(answer instanceof StoreResult.Ok<ChangeBatch<ServingConfig>>(ChangeBatch<ServingConfig> changes))) {
            retryListing(answer);
            return;
        }
        for (ChangeBatch.Change<ServingConfig> change : changes.changes()) {
            if (!change.deleted()) {
                take(change.object(), askedAt);
            }
        }
        gate.confirm(askedAt + provedMillis(changes, clocks.bootMillis() - askedAt));
        watch(changes.revision());
    }

    /** An empty answer after the full wait proves that nothing changed while the store waited. */
    private static long provedMillis(ChangeBatch<ServingConfig> changes, long tookMillis) {
        boolean waited = changes.changes().isEmpty() && tookMillis >= WATCH_MILLIS;
        return waited ? (long) (WATCH_MILLIS * PROVED_PART) : 0;
    }

    private void take(StoredObject<ServingConfig> object, long askedAt) {
        if (object.content().isEmpty()) {
            log.write(EventLog.Component.CONFIG, "unreadable", "object", object.name(), "revision", object.revision());
            return;
        }
        ServingConfig config = object.content().get();
        if (gate.offer(config, askedAt)) {
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
                    object.revision());
            onChange.run();
        }
    }

    private void retryListing(Object answer) {
        if (reachable && !(answer instanceof StoreResult.HistoryExpired<?>)) {
            reachable = false;
            log.write(
                    EventLog.Component.CONFIG,
                    "store-lost",
                    "answer",
                    answer,
                    "age_ms",
                    gate.ageMillis(clocks.bootMillis()));
        }
        long pause = relaysHeard ? RELAYED_RETRY_MILLIS : RETRY_MILLIS;
        loop.schedule(this::followRelay, pause, TimeUnit.MILLISECONDS);
    }

    private void noteReachable() {
        if (!reachable) {
            reachable = true;
            log.write(EventLog.Component.CONFIG, "store-reached");
        }
    }
}
