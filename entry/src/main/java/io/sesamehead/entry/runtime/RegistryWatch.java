package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.state.StoreRevision;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Keeps the registry of upstreams up to date from the store, or from a relay while the relay is current. */
final class RegistryWatch {
    /** Maximum wait of a watch, in milliseconds. A connection that went silent is detected within the drain bound. */
    private static final long WATCH_TIMEOUT_MILLIS = 1_200;
    /** Delay before the next watch after changes, in milliseconds. Changes close together are read in one call. */
    private static final long BATCH_DELAY_MILLIS = 200;
    /**
     * Batch delay at the controller, in milliseconds. Shorter, because the controller's orders follow one another
     * through the registry.
     */
    private static final long CONTROLLER_BATCH_DELAY_MILLIS = 40;
    /**
     * Failures up to this duration do not count as outages in which entries expire, in milliseconds. Shorter than one
     * heartbeat interval.
     */
    private static final long MAX_TRANSIENT_FAILURE_MILLIS = 800;
    /** Delay after a failed request, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;
    /** Retry delay with relays, in milliseconds. Keeps the request rate of all daemons below the store's limit. */
    private static final long RELAYED_RETRY_DELAY_MILLIS = 600;
    /**
     * Maximum age of a relay's view that is accepted, in milliseconds. Covers a watch, a batch delay and two reports.
     */
    private static final long MAX_RELAYED_AGE_MILLIS = 2_400;
    /**
     * Time without a complete view from a relay after which the store is queried, in milliseconds. Four report
     * intervals.
     */
    private static final long RELAY_TIMEOUT_MILLIS = 700;
    /** Interval of checks that the relay is still reporting, in milliseconds. About its report interval. */
    private static final long RELAY_CHECK_INTERVAL_MILLIS = 200;

    /** Wait of a request for the changes up to now, in milliseconds. The shortest that the store accepts. */
    private static final long REFRESH_TIMEOUT_MILLIS = 1;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final String TASK = "registry-watch";
    private static final String REFRESH_TASK = "registry-refresh";

    private final EventLoopTasks tasks;
    private final Clocks clocks;
    private final ObjectStore store;
    private final UpstreamRegistry registry;
    private final EventLog log;
    private final Runnable onChange;
    private final BooleanSupplier isController;
    private final RecentChanges recent = new RecentChanges();
    private boolean relayReportReceived;
    private long relayCurrentAtMillis = NEVER;
    private long revision;
    private long confirmedAtMillis = NEVER;
    private boolean refreshing;
    private boolean failing;
    private long failingSinceMillis;

    RegistryWatch(
            EventLoop loop,
            Clocks clocks,
            ObjectStore store,
            UpstreamRegistry registry,
            EventLog log,
            Runnable onChange,
            BooleanSupplier isController) {
        this.tasks = new EventLoopTasks(loop, log);
        this.clocks = clocks;
        this.store = store;
        this.registry = registry;
        this.log = log;
        this.onChange = onChange;
        this.isController = isController;
    }

    /**
     * Starts with a listing that may be a few seconds old, which costs the store a tenth of a current one. The first
     * watch then returns the changes since that listing.
     */
    void start() {
        tasks.run(TASK, () -> list(true), this::scheduleRetry);
    }

    /** Handles a restore of the store from a copy, which ends the history that this daemon has read. */
    void onStoreRestored() {}

    /** Returns the revision up to which changes are known, or 0 before the first response. */
    long revision() {
        return revision;
    }

    /** Returns the changes that a relay currently passes on. */
    RecentChanges.Delta recentChanges() {
        return recent.deltaTo(revision, clocks.steadyMillis());
    }

    /**
     * Handles a relay's view of the registry.
     *
     * @param relayRevision revision up to which the relay has the changes
     * @param ageMillis time since the store answered the relay, in milliseconds
     * @param changes the latest changes up to that revision
     */
    void onRelayedChanges(long relayRevision, long ageMillis, RecentChanges.Delta changes) {
        long now = clocks.steadyMillis();
        if (revision == 0 || ageMillis > MAX_RELAYED_AGE_MILLIS) {
            return;
        }
        relayReportReceived = true;
        if (relayRevision > revision && changes.sinceRevision() <= revision) {
            List<ChangeBatch.Change<UpstreamEntry>> unknown = changes.changes().stream()
                    .filter(change -> change.object().revision().number() > revision)
                    .toList();
            revision = relayRevision;
            apply(unknown, now);
        }
        if (relayRevision <= revision) {
            relayCurrentAtMillis = now;
            recordAnswer(now - ageMillis);
        }
    }

    /**
     * Whether all changes up to a given time have been read from the store itself.
     *
     * @param steadyMillis the time, on the clock of {@link Clocks#steadyMillis()}
     * @return true once the store has answered a request that was sent later
     */
    boolean confirmedSince(long steadyMillis) {
        return confirmedAtMillis > steadyMillis;
    }

    /** Requests the changes up to now from the store, in addition to a pending watch. */
    void refresh() {
        if (refreshing || revision == 0) {
            return;
        }
        refreshing = true;
        tasks.run(REFRESH_TASK, this::requestChanges, () -> refreshing = false);
    }

    private void requestChanges() {
        long requestedAtMillis = clocks.steadyMillis();
        long since = revision;
        Consumer<StoreResult<ChangeBatch<UpstreamEntry>>> onAnswer = answer -> {
            refreshing = false;
            if (answer instanceof StoreResult.Ok<ChangeBatch<UpstreamEntry>>(ChangeBatch<UpstreamEntry> changes)) {
                onRefreshAnswer(since, requestedAtMillis, changes);
            }
        };
        store.watch(
                ObjectKind.UPSTREAMS,
                new StoreRevision(0, since),
                REFRESH_TIMEOUT_MILLIS,
                tasks.callback(REFRESH_TASK, onAnswer, () -> refreshing = false));
    }

    /** Changes that another response has overtaken are discarded; the next refresh requests them again. */
    private void onRefreshAnswer(long since, long requestedAtMillis, ChangeBatch<UpstreamEntry> changes) {
        if (since == revision) {
            applyBatch(since, changes);
        }
        if (changes.revision().number() <= revision) {
            confirmedAtMillis = Math.max(confirmedAtMillis, requestedAtMillis);
        }
    }

    private boolean relayIsCurrent() {
        return revision > 0 && clocks.steadyMillis() - relayCurrentAtMillis <= RELAY_TIMEOUT_MILLIS;
    }

    private void resume() {
        // The store's history has the changes made during a short failure; a listing of all upstreams takes many calls.
        if (revision > 0) {
            watch();
        } else {
            list(true);
        }
    }

    private void apply(List<ChangeBatch.Change<UpstreamEntry>> changes, long nowMillis) {
        for (ChangeBatch.Change<UpstreamEntry> change : changes) {
            if (!registry.apply(change, nowMillis)) {
                log.write(
                        EventLog.Component.REGISTRY,
                        "unreadable",
                        "entry",
                        change.object().name());
            }
        }
        if (!changes.isEmpty()) {
            onChange.run();
        }
    }

    private void list(boolean mayBeOld) {
        long requestedAtMillis = clocks.steadyMillis();
        store.list(
                ObjectKind.UPSTREAMS,
                mayBeOld,
                tasks.callback(TASK, answer -> onListing(answer, mayBeOld, requestedAtMillis), this::scheduleRetry));
    }

    private void onListing(StoreResult<Listing<UpstreamEntry>> answer, boolean mayBeOld, long requestedAtMillis) {
        if (!(answer instanceof StoreResult.Ok<Listing<UpstreamEntry>>(Listing<UpstreamEntry> listing))) {
            retry(answer);
            return;
        }
        if (!mayBeOld) {
            recordAnswer(clocks.steadyMillis());
            confirmedAtMillis = Math.max(confirmedAtMillis, requestedAtMillis);
        }
        recent.clear();
        revision = listing.revision().number();
        List<String> unreadable = registry.replaceAll(listing.objects(), clocks.steadyMillis());
        unreadable.forEach(name -> log.write(EventLog.Component.REGISTRY, "unreadable", "entry", name));
        log.write(
                EventLog.Component.REGISTRY,
                "listed",
                "entries",
                listing.objects().size(),
                "revision",
                revision);
        onChange.run();
        if (mayBeOld) {
            refresh();
        }
        watch();
    }

    /** Watches the store, or waits while a relay reports all changes. */
    private void watch() {
        if (!isController.getAsBoolean() && relayIsCurrent()) {
            tasks.schedule(TASK, this::watch, RELAY_CHECK_INTERVAL_MILLIS, this::scheduleRetry);
            return;
        }
        long since = revision;
        long requestedAtMillis = clocks.steadyMillis();
        store.watch(
                ObjectKind.UPSTREAMS,
                new StoreRevision(0, since),
                WATCH_TIMEOUT_MILLIS,
                tasks.callback(TASK, answer -> onChanges(since, requestedAtMillis, answer), this::scheduleRetry));
    }

    private void onChanges(long since, long requestedAtMillis, StoreResult<ChangeBatch<UpstreamEntry>> answer) {
        if (!(answer instanceof StoreResult.Ok<ChangeBatch<UpstreamEntry>>(ChangeBatch<UpstreamEntry> changes))) {
            retry(answer);
            return;
        }
        if (changes.revision().number() < revision) {
            recordAnswer(clocks.steadyMillis());
            watch();
            return;
        }
        applyBatch(since, changes);
        confirmedAtMillis = Math.max(confirmedAtMillis, requestedAtMillis);
        if (changes.changes().isEmpty()) {
            watch();
            return;
        }
        long delayMillis = isController.getAsBoolean() ? CONTROLLER_BATCH_DELAY_MILLIS : BATCH_DELAY_MILLIS;
        tasks.schedule(TASK, this::watch, delayMillis, this::scheduleRetry);
    }

    private void applyBatch(long since, ChangeBatch<UpstreamEntry> changes) {
        long now = clocks.steadyMillis();
        recordAnswer(now);
        recent.add(since, changes, now);
        revision = changes.revision().number();
        apply(changes.changes(), now);
    }

    private void recordAnswer(long answeredAtMillis) {
        registry.recordStoreAnswer(
                answeredAtMillis, failing && answeredAtMillis - failingSinceMillis > MAX_TRANSIENT_FAILURE_MILLIS);
        if (failing) {
            failing = false;
            log.write(EventLog.Component.REGISTRY, "store-reached");
        }
    }

    private void retry(StoreResult<?> answer) {
        boolean historyGone = answer instanceof StoreResult.HistoryExpired<?>;
        if (!historyGone && !failing) {
            failing = true;
            failingSinceMillis = clocks.steadyMillis();
            log.write(EventLog.Component.REGISTRY, "store-lost", "answer", answer);
        }
        if (historyGone) {
            tasks.execute(TASK, () -> list(false), this::scheduleRetry);
        } else {
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        long delayMillis = relayReportReceived ? RELAYED_RETRY_DELAY_MILLIS : RETRY_DELAY_MILLIS;
        tasks.schedule(TASK, this::resume, delayMillis, this::scheduleRetry);
    }
}
