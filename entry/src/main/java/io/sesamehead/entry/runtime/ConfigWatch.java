package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.catalog.CatalogGate;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.entry.port.Changes;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreAnswer;
import io.sesamehead.entry.port.StoredObject;
import java.util.concurrent.TimeUnit;

/**
 * Keeps the configuration in force up to date. Each answer of the store, also an empty one, renews the daemon's right to
 * use the keys, as of the moment at which the store was asked.
 */
final class ConfigWatch {
    /**
     * Longest wait of one watch, in milliseconds. Knowledge is up to two waits old before the next answer, which must stay
     * below the time in which a configuration takes force: beyond it, unknown routes and keys are not denied.
     */
    private static final long WATCH_MILLIS = 900;
    /** The same at a relay, in milliseconds: what it knows reaches others two reports later. */
    private static final long RELAY_WATCH_MILLIS = 450;
    /** Time after the last question for it in which knowledge counts as shared, in milliseconds. */
    private static final long SHARED_MILLIS = 1_000;
    /** Pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 150;
    /** The same in a deployment with relays, in milliseconds: together the daemons stay below the store's rate. */
    private static final long RELAYED_RETRY_MILLIS = 600;
    /** Age of what a relay tells, in milliseconds, up to which the store is not asked: two waits and two reports. */
    private static final long RELAYED_MILLIS = 1_500;
    /** Interval of looking whether a relay still tells, in milliseconds. */
    private static final long LOOK_MILLIS = 100;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private final Clocks clocks;
    private final ObjectStore store;
    private final CatalogGate gate;
    private final EventLog log;
    private final Runnable onChange;
    private boolean reachable;
    private boolean relaysHeard;
    private long sharedAt = NEVER;
    private long relayedAsOf = NEVER;

    ConfigWatch(EventLoop loop, Clocks clocks, ObjectStore store, CatalogGate gate, EventLog log, Runnable onChange) {
        this.loop = loop;
        this.clocks = clocks;
        this.store = store;
        this.gate = gate;
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

    /** Records that other daemons are told what is known here. */
    void shared() {
        sharedAt = clocks.bootMillis();
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
        return clocks.bootMillis() - relayedAsOf <= RELAYED_MILLIS;
    }

    private void list() {
        long askedAt = clocks.bootMillis();
        store.list(ObjectKind.CONFIGURATION, false, answer -> onListing(answer, askedAt));
    }

    private void onListing(StoreAnswer<Listing<ServingConfig>> answer, long askedAt) {
        if (!(answer instanceof StoreAnswer.Done<Listing<ServingConfig>>(Listing<ServingConfig> listing))) {
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
        long wait = askedAt - sharedAt <= SHARED_MILLIS ? RELAY_WATCH_MILLIS : WATCH_MILLIS;
        store.watch(ObjectKind.CONFIGURATION, revision, wait, answer -> onChanges(answer, askedAt));
    }

    private void onChanges(StoreAnswer<Changes<ServingConfig>> answer, long askedAt) {
        if (!(answer instanceof StoreAnswer.Done<Changes<ServingConfig>>(Changes<ServingConfig> changes))) {
            retryListing(answer);
            return;
        }
        for (Changes.Change<ServingConfig> change : changes.changes()) {
            if (!change.deleted()) {
                take(change.object(), askedAt);
            }
        }
        gate.confirm(askedAt);
        watch(changes.revision());
    }

    private void take(StoredObject<ServingConfig> object, long askedAt) {
        if (object.content().isEmpty()) {
            log.write(EventLog.Part.CONFIG, "unreadable", "object", object.name(), "revision", object.revision());
            return;
        }
        ServingConfig config = object.content().get();
        if (gate.offer(config, askedAt)) {
            log.write(
                    EventLog.Part.CONFIG,
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
        if (reachable && !(answer instanceof StoreAnswer.HistoryGone<?>)) {
            reachable = false;
            log.write(
                    EventLog.Part.CONFIG,
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
            log.write(EventLog.Part.CONFIG, "store-reached");
        }
    }
}
