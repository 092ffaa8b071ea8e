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
    /** Pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 150;

    private final EventLoop loop;
    private final Clocks clocks;
    private final ObjectStore store;
    private final CatalogGate gate;
    private final EventLog log;
    private final Runnable onChange;
    private boolean reachable;

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
        long askedAt = clocks.bootMillis();
        store.watch(ObjectKind.CONFIGURATION, revision, WATCH_MILLIS, answer -> onChanges(answer, askedAt));
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
        loop.schedule(this::list, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void noteReachable() {
        if (!reachable) {
            reachable = true;
            log.write(EventLog.Part.CONFIG, "store-reached");
        }
    }
}
