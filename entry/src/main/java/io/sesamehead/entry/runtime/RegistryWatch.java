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
import java.util.random.RandomGenerator;

/** Keeps the registry of upstreams up to date from the store, or from a relay while the relay is current. */
final class RegistryWatch {
    /** Maximum wait of a watch, in milliseconds. A connection that went silent is detected within the drain bound. */
    private static final long WATCH_TIMEOUT_MILLIS = 1_200;
    /**
     * Minimum wait of a watch while the view is recent, in milliseconds. With a short drain time, a daemon would otherwise
     * query the store without a pause.
     */
    private static final long MIN_WATCH_TIMEOUT_MILLIS = 300;
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
    /** Response time of a slow store, in milliseconds. */
    private static final long SLOW_RESPONSE_MILLIS = 250;
    /** Part of the drain time that is left to query the store, and once more if it rejects the query. */
    private static final long STORE_QUERY_MILLIS = RELAYED_RETRY_DELAY_MILLIS + 2 * SLOW_RESPONSE_MILLIS;
    /**
     * Maximum age of a relay's view that counts as current, in milliseconds, however long upstreams drain. With a drain
     * time of 3 s, it also leaves time to repeat a query that gets no response.
     */
    private static final long MAX_RELAYED_AGE_MILLIS = 1_200;
    /** Part of the age of a relayed view that two report intervals and the delivery take, in milliseconds. */
    private static final long REPORTING_MILLIS = 400;
    /** Fraction of a full wait that an empty response confirms. The store's clock may run slightly fast. */
    private static final double CONFIRMED_WAIT_FRACTION = 0.95;
    /**
     * Time without a complete view from a relay after which the store is queried, in milliseconds. Four report
     * intervals.
     */
    private static final long RELAY_TIMEOUT_MILLIS = 700;
    /** Interval of checks that the relay is still reporting, in milliseconds. About its report interval. */
    private static final long RELAY_CHECK_INTERVAL_MILLIS = 200;

    /** Wait of a request for the changes up to now, in milliseconds. The shortest that the store accepts. */
    private static final long REFRESH_TIMEOUT_MILLIS = 1;

    /**
     * Time over which the daemons spread their listings after a restore of the store, in milliseconds. They learn of it
     * at about the same time.
     */
    private static final long RESTORED_LIST_SPREAD_MILLIS = 300;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final String TASK = "registry-watch";
    private static final String REFRESH_TASK = "registry-refresh";

    private final EventLoopTasks tasks;
    private final RequestSequence sequence;
    private final Clocks clocks;
    private final ObjectStore store;
    private final UpstreamRegistry registry;
    private final long relayedAgeLimitMillis;
    private final EventLog log;
    private final Runnable onChange;
    private final BooleanSupplier isController;
    private final BooleanSupplier isLargeFleet;
    private final RandomGenerator random;
    private final RecentChanges recent = new RecentChanges();
    private boolean relayReportReceived;
    private long relayReportedAtMillis = NEVER;
    /** Latest time as of which a relay's view was the store's. */
    private long relayAsOfMillis = NEVER;

    private StoreRevision revision = StoreRevision.NONE;
    private boolean restored;
    private boolean triedStaleListing;
    private long confirmedAtMillis = NEVER;
    /** Latest time as of which the known revision was the store's; never for a listing that may be old. */
    private long currentAtMillis = NEVER;

    private boolean refreshing;
    private boolean failing;
    private long failingSinceMillis;

    /**
     * Creates a watch.
     *
     * @param drainMillis time for which a draining upstream serves on after the store knows of it, in milliseconds
     * @param onChange runs after changes
     * @param isController whether this daemon holds the controller lease, and asks the store itself
     * @param isLargeFleet whether current listings of all daemons would exceed the store's rate
     */
    RegistryWatch(
            EventLoop loop,
            Clocks clocks,
            ObjectStore store,
            UpstreamRegistry registry,
            long drainMillis,
            EventLog log,
            Runnable onChange,
            BooleanSupplier isController,
            BooleanSupplier isLargeFleet,
            RandomGenerator random) {
        this.tasks = new EventLoopTasks(loop, log);
        this.sequence = new RequestSequence(tasks, TASK, this::scheduleRetry);
        this.clocks = clocks;
        this.store = store;
        this.registry = registry;
        this.relayedAgeLimitMillis = Math.clamp(drainMillis - STORE_QUERY_MILLIS, 0, MAX_RELAYED_AGE_MILLIS);
        this.log = log;
        this.onChange = onChange;
        this.isController = isController;
        this.isLargeFleet = isLargeFleet;
        this.random = random;
    }

    /**
     * Starts with a listing that may be a few seconds old, which costs the store a tenth of a current one. The first
     * watch then returns the changes since that listing.
     */
    void start() {
        sequence.restart(() -> list(true));
    }

    /**
     * Handles a restore of the store from a copy, which ends the history that this daemon has read. The known entries
     * stay in use, but nothing confirms them until the registry has been listed again.
     */
    void onStoreRestored() {
        boolean controller = isController.getAsBoolean();
        sequence.restart(this::resume, controller ? 0 : random.nextLong(RESTORED_LIST_SPREAD_MILLIS));
        restored = true;
        triedStaleListing = controller;
        refreshing = false;
        revision = StoreRevision.NONE;
        relayReportedAtMillis = NEVER;
        relayAsOfMillis = NEVER;
        confirmedAtMillis = NEVER;
        currentAtMillis = NEVER;
        recent.clear();
        registry.recordRestore(clocks.steadyMillis());
    }

    /** Whether the registry has been listed in the present history of the store. */
    boolean listed() {
        return revision.number() > 0;
    }

    /** Whether the known revision was ever the store's latest one in its present history. */
    boolean hasBeenCurrent() {
        return listed() && currentAtMillis != NEVER;
    }

    /**
     * Returns the time since the known revision was the store's latest one.
     *
     * @param nowMillis current time, on the clock of {@link Clocks#steadyMillis()}
     * @return the time, in milliseconds, if it {@linkplain #hasBeenCurrent() has been}
     */
    long ageMillis(long nowMillis) {
        return nowMillis - currentAtMillis;
    }

    /** Returns the revision up to which changes are known, which is {@link StoreRevision#NONE} if none are. */
    StoreRevision revision() {
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
    void onRelayedChanges(StoreRevision relayRevision, long ageMillis, RecentChanges.Delta changes) {
        long now = clocks.steadyMillis();
        if (!listed() || relayRevision.era() != revision.era()) {
            return;
        }
        // Also with an old view there is a relay, so that many daemons query the store while it is down.
        relayReportReceived = true;
        if (ageMillis > relayedAgeLimitMillis) {
            return;
        }
        if (relayRevision.compareTo(revision) > 0 && changes.sinceRevision().compareTo(revision) <= 0) {
            List<ChangeBatch.Change<UpstreamEntry>> unknown = changes.changes().stream()
                    .filter(change -> change.object().revision().compareTo(revision) > 0)
                    .toList();
            apply(unknown, true, now);
            revision = relayRevision;
        }
        if (relayRevision.compareTo(revision) <= 0) {
            relayReportedAtMillis = now;
            relayAsOfMillis = Math.max(relayAsOfMillis, now - ageMillis);
            recordAnswer(now - ageMillis, now - ageMillis);
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
        if (refreshing || !listed()) {
            return;
        }
        refreshing = true;
        tasks.run(REFRESH_TASK, this::requestChanges, () -> refreshing = false);
    }

    private void requestChanges() {
        long requestedAtMillis = clocks.steadyMillis();
        StoreRevision since = revision;
        Consumer<StoreResult<ChangeBatch<UpstreamEntry>>> onAnswer = sequence.ifCurrent(answer -> {
            refreshing = false;
            switch (answer) {
                case StoreResult.Ok<ChangeBatch<UpstreamEntry>>(ChangeBatch<UpstreamEntry> changes) ->
                    onRefreshAnswer(since, requestedAtMillis, changes);
                case StoreResult.HistoryExpired<ChangeBatch<UpstreamEntry>> expired -> listAgain();
                default -> {}
            }
        });
        store.watch(
                ObjectKind.UPSTREAMS,
                since,
                REFRESH_TIMEOUT_MILLIS,
                tasks.callback(REFRESH_TASK, onAnswer, () -> refreshing = false));
    }

    /** Changes that another response has overtaken are discarded; the next refresh requests them again. */
    private void onRefreshAnswer(StoreRevision since, long requestedAtMillis, ChangeBatch<UpstreamEntry> changes) {
        if (since.equals(revision)) {
            applyBatch(since, changes, requestedAtMillis);
        }
        if (changes.revision().compareTo(revision) <= 0) {
            confirmedAtMillis = Math.max(confirmedAtMillis, requestedAtMillis);
        }
    }

    private boolean relayIsCurrent() {
        return listed() && millisUntilRelayIsOld(clocks.steadyMillis()) >= 0;
    }

    private long millisUntilRelayIsOld(long nowMillis) {
        return Math.min(relayReportedAtMillis + RELAY_TIMEOUT_MILLIS, relayAsOfMillis + relayedAgeLimitMillis)
                - nowMillis;
    }

    private void resume() {
        // The store's history has the changes made during a short failure; a listing of all upstreams takes many calls.
        if (listed()) {
            watch();
        } else {
            list(!restored || mayListStaleAfterRestore());
        }
    }

    /**
     * A stale listing may still be of the ended history. It is tried once, and only where current listings of all
     * daemons would exceed the store's rate.
     */
    private boolean mayListStaleAfterRestore() {
        boolean firstTry = !triedStaleListing;
        triedStaleListing = true;
        return firstTry && isLargeFleet.getAsBoolean();
    }

    private void apply(List<ChangeBatch.Change<UpstreamEntry>> changes, boolean present, long nowMillis) {
        for (ChangeBatch.Change<UpstreamEntry> change : changes) {
            if (!registry.apply(change, present, nowMillis)) {
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
                sequence.callback(answer -> onListing(answer, mayBeOld, requestedAtMillis)));
    }

    private void onListing(StoreResult<Listing<UpstreamEntry>> answer, boolean mayBeOld, long requestedAtMillis) {
        if (!(answer instanceof StoreResult.Ok<Listing<UpstreamEntry>>(Listing<UpstreamEntry> listing))) {
            retry(answer);
            return;
        }
        if (mayBeOld) {
            currentAtMillis = NEVER;
        } else {
            recordAnswer(requestedAtMillis, clocks.steadyMillis());
            confirmedAtMillis = Math.max(confirmedAtMillis, requestedAtMillis);
        }
        recent.clear();
        revision = listing.revision();
        restored = false;
        List<String> unreadable = registry.replaceAll(listing.objects(), clocks.steadyMillis());
        unreadable.forEach(name -> log.write(EventLog.Component.REGISTRY, "unreadable", "entry", name));
        log.write(
                EventLog.Component.REGISTRY,
                "listed",
                "entries",
                listing.objects().size(),
                "revision",
                revision.number(),
                "era",
                revision.era());
        onChange.run();
        if (mayBeOld) {
            refresh();
        }
        watch();
    }

    /** Watches the store, or waits while a relay reports all changes. */
    private void watch() {
        if (!isController.getAsBoolean() && relayIsCurrent()) {
            long untilOldMillis = millisUntilRelayIsOld(clocks.steadyMillis()) + 1;
            sequence.schedule(this::watch, Math.min(RELAY_CHECK_INTERVAL_MILLIS, untilOldMillis));
            return;
        }
        StoreRevision since = revision;
        long requestedAtMillis = clocks.steadyMillis();
        long waitMillis = watchTimeoutMillis(requestedAtMillis);
        store.watch(
                ObjectKind.UPSTREAMS,
                since,
                waitMillis,
                sequence.callback(answer -> onChanges(since, requestedAtMillis, waitMillis, answer)));
    }

    /**
     * Returns the wait after which the response still comes before the view is too old for the daemons that learn of it
     * from this one. A view that is too old already is refreshed at once.
     */
    private long watchTimeoutMillis(long nowMillis) {
        long untilOldMillis = currentAtMillis + relayedAgeLimitMillis - REPORTING_MILLIS - nowMillis;
        boolean recent = nowMillis - currentAtMillis <= MIN_WATCH_TIMEOUT_MILLIS;
        return Math.clamp(
                untilOldMillis, recent ? MIN_WATCH_TIMEOUT_MILLIS : REFRESH_TIMEOUT_MILLIS, WATCH_TIMEOUT_MILLIS);
    }

    private void onChanges(
            StoreRevision since,
            long requestedAtMillis,
            long waitMillis,
            StoreResult<ChangeBatch<UpstreamEntry>> answer) {
        if (!(answer instanceof StoreResult.Ok<ChangeBatch<UpstreamEntry>>(ChangeBatch<UpstreamEntry> changes))) {
            retry(answer);
            return;
        }
        if (changes.revision().compareTo(revision) < 0) {
            recordAnswer(requestedAtMillis, clocks.steadyMillis());
            watch();
            return;
        }
        boolean waited = changes.changes().isEmpty() && clocks.steadyMillis() - requestedAtMillis >= waitMillis;
        long confirmedWaitMillis = waited ? (long) (waitMillis * CONFIRMED_WAIT_FRACTION) : 0;
        applyBatch(since, changes, requestedAtMillis + confirmedWaitMillis);
        confirmedAtMillis = Math.max(confirmedAtMillis, requestedAtMillis);
        if (changes.changes().isEmpty()) {
            watch();
            return;
        }
        long delayMillis = isController.getAsBoolean() ? CONTROLLER_BATCH_DELAY_MILLIS : BATCH_DELAY_MILLIS;
        sequence.schedule(this::watch, delayMillis);
    }

    private void applyBatch(StoreRevision since, ChangeBatch<UpstreamEntry> changes, long asOfMillis) {
        long now = clocks.steadyMillis();
        // The changes since a listing that may be old include those that the copy of a restored store contains.
        boolean present = hasBeenCurrent();
        recordAnswer(asOfMillis, now);
        // A batch that fails is read again: its revision counts only once all of it has been applied.
        apply(changes.changes(), present, now);
        recent.add(since, changes, now);
        revision = changes.revision();
    }

    private void recordAnswer(long asOfMillis, long answeredAtMillis) {
        currentAtMillis = Math.max(currentAtMillis, asOfMillis);
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
            listAgain();
        } else {
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        long delayMillis = relayReportReceived ? RELAYED_RETRY_DELAY_MILLIS : RETRY_DELAY_MILLIS;
        sequence.schedule(this::resume, delayMillis);
    }

    /** Lists the registry after its history has expired. */
    private void listAgain() {
        refreshing = false;
        sequence.restart(() -> list(false), 0);
    }
}
