package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.evacuation.Evacuations;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.EvacuationRequest;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.StoreRevision;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Keeps the evacuated failure domains up to date from the store, or from a relay while the relay is current. Does nothing
 * in a deployment whose settings do not state a time limit.
 */
final class EvacuationWatch {
    /** Maximum wait of a watch, in milliseconds. A connection that went silent is detected within the time limit. */
    private static final long WATCH_TIMEOUT_MILLIS = 2_000;
    /**
     * Maximum wait at a daemon that serves others, in milliseconds. With the longer one the others asked the store
     * whenever a report was lost at the wrong moment: the wait and two report intervals exceed their share of the limit.
     */
    private static final long SERVING_WATCH_TIMEOUT_MILLIS = 1_500;
    /** Wait of the watch after changes, in milliseconds. Its answer tells that the state is current. */
    private static final long CONFIRM_TIMEOUT_MILLIS = 1;
    /** Delay before the watch after changes, in milliseconds. Changes close together are read in one call. */
    private static final long BATCH_DELAY_MILLIS = 100;
    /** Fraction of a full wait that an empty response confirms. The store's clock may run slightly fast. */
    private static final double CONFIRMED_WAIT_FRACTION = 0.95;
    /** Delay after a failed request, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;
    /** Retry delay with relays, in milliseconds. Keeps the request rate of all daemons below the store's limit. */
    private static final long RELAYED_RETRY_DELAY_MILLIS = 600;
    /** Fraction of the time limit for which a confirmation from a relay is valid. The rest is time to query the store. */
    private static final double RELAYED_LIMIT_FRACTION = 0.5;
    /** Interval of checks that the relay is still reporting, in milliseconds. About its report interval. */
    private static final long RELAY_CHECK_INTERVAL_MILLIS = 200;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final String TASK = "evacuation-watch";
    private static final String FROM_STORE = "store";
    private static final String FROM_RELAY = "relay";

    private final EventLoopTasks tasks;
    private final RequestSequence sequence;
    private final Clocks clocks;
    private final ObjectStore store;
    private final Evacuations evacuations;
    private final OptionalLong limitMillis;
    private final BooleanSupplier servesOthers;
    private final EventLog log;
    private final Runnable onChange;
    /** When the known revision was learned. A later listing with an older one shows that the store has lost it. */
    private long learnedAtMillis = NEVER;

    private long relayConfirmedAtMillis = NEVER;
    private boolean relayReportReceived;
    private boolean storeReachable;

    /**
     * Creates a watch.
     *
     * @param limitMillis time limit for an evacuation to take effect, empty if there are no evacuations
     * @param servesOthers whether other daemons learn of the store from this one, which then asks the store itself
     * @param onChange runs after an evacuation has begun or ended
     */
    EvacuationWatch(
            EventLoop loop,
            Clocks clocks,
            ObjectStore store,
            Evacuations evacuations,
            OptionalLong limitMillis,
            BooleanSupplier servesOthers,
            EventLog log,
            Runnable onChange) {
        this.tasks = new EventLoopTasks(loop, log);
        this.sequence = new RequestSequence(tasks, TASK, this::scheduleRetry);
        this.clocks = clocks;
        this.store = store;
        this.evacuations = evacuations;
        this.limitMillis = limitMillis;
        this.servesOthers = servesOthers;
        this.log = log;
        this.onChange = onChange;
    }

    /** Lists the evacuations. Until they are known, for the time limit at most, nothing is sent to any upstream. */
    void start() {
        if (limitMillis.isEmpty()) {
            return;
        }
        evacuations.beginWait();
        tasks.schedule(TASK, this::endWait, limitMillis.getAsLong(), () -> {});
        sequence.restart(this::list);
    }

    /** Registers the gauges, if there are evacuations. */
    void registerGauges(DaemonMetrics metrics) {
        if (limitMillis.isPresent()) {
            metrics.gauge("evacuated_domains", () -> evacuations.evacuated().size());
            metrics.gauge("evacuations_age_ms", this::ageMillis);
        }
    }

    /**
     * Handles a restore of the store, whose content is unknown until it is read again. A daemon with a relay waits for
     * the relay's next report, since all daemons learn of the restore at about the same time.
     */
    void onStoreRestored() {
        if (limitMillis.isEmpty()) {
            return;
        }
        evacuations.recordRestore();
        learnedAtMillis = NEVER;
        relayConfirmedAtMillis = NEVER;
        boolean mayWait = relayReportReceived && !servesOthers.getAsBoolean();
        sequence.restart(this::followRelay, mayWait ? RELAYED_RETRY_DELAY_MILLIS : 0);
    }

    /** Returns the known state, which is not {@linkplain Evacuations#isKnown() known} without a time limit. */
    Evacuations evacuations() {
        return evacuations;
    }

    /**
     * Returns the time since the known state was confirmed.
     *
     * @return the time in milliseconds, -1 if no state of the store's present history is known
     */
    long ageMillis() {
        return evacuations.isKnown() ? Math.max(0, clocks.bootMillis() - evacuations.confirmedAtMillis()) : -1;
    }

    /**
     * Handles a relay's state, which replaces an older one.
     *
     * @param revision revision up to which the relay knows the state
     * @param evacuated the evacuated failure domains
     * @param asOfMillis when the state was the store's, on the clock of {@link Clocks#bootMillis()}
     */
    void onRelayedState(StoreRevision revision, Set<FailureDomain> evacuated, long asOfMillis) {
        if (limitMillis.isEmpty()) {
            return;
        }
        relayReportReceived = true;
        if (revision.compareTo(evacuations.revision()) > 0) {
            replaceAll(evacuated, revision, asOfMillis, FROM_RELAY);
        } else if (evacuated.equals(evacuations.evacuated())) {
            // The relay proves that the store had the same state at this time, whichever revision either has read.
            evacuations.confirm(evacuations.revision(), asOfMillis);
        } else {
            return;
        }
        relayConfirmedAtMillis = Math.max(relayConfirmedAtMillis, asOfMillis);
    }

    private void endWait() {
        if (evacuations.isAwaited()) {
            evacuations.endWait();
            log.write(EventLog.Component.EVACUATION, "unknown", "waited_ms", limitMillis.getAsLong());
        }
    }

    /** Sends no requests to the store until the relay stops reporting. */
    private void followRelay() {
        long remainingMillis = relayRemainingMillis();
        if (remainingMillis > 0 && !servesOthers.getAsBoolean()) {
            sequence.schedule(this::followRelay, Math.min(remainingMillis, RELAY_CHECK_INTERVAL_MILLIS));
        } else {
            list();
        }
    }

    /** Returns the time for which the relay's last confirmation is still valid, 0 or less if it is not. */
    private long relayRemainingMillis() {
        long validMillis = (long) (limitMillis.orElse(0) * RELAYED_LIMIT_FRACTION);
        return relayConfirmedAtMillis + validMillis - clocks.bootMillis();
    }

    private void list() {
        long requestedAtMillis = clocks.bootMillis();
        store.list(
                ObjectKind.EVACUATIONS,
                false,
                sequence.callback(
                        (StoreResult<Listing<EvacuationRequest>> answer) -> onListing(answer, requestedAtMillis)));
    }

    private void onListing(StoreResult<Listing<EvacuationRequest>> answer, long requestedAtMillis) {
        if (!(answer instanceof StoreResult.Ok<Listing<EvacuationRequest>>(Listing<EvacuationRequest> listing))) {
            retry(answer);
            return;
        }
        recordStoreReachable();
        if (listing.revision().compareTo(evacuations.revision()) < 0 && requestedAtMillis <= learnedAtMillis) {
            // A relay has told of changes that this listing, which was requested before, does not contain.
            scheduleRetry();
            return;
        }
        List<FailureDomain> listed = listing.objects().stream()
                .filter(this::isReadable)
                .map(EvacuationWatch::domain)
                .toList();
        replaceAll(Set.copyOf(listed), listing.revision(), requestedAtMillis, FROM_STORE);
        watch();
    }

    private void watch() {
        watch(servesOthers.getAsBoolean() ? SERVING_WATCH_TIMEOUT_MILLIS : WATCH_TIMEOUT_MILLIS);
    }

    private void watch(long waitMillis) {
        if (relayRemainingMillis() > 0 && !servesOthers.getAsBoolean()) {
            followRelay();
            return;
        }
        long requestedAtMillis = clocks.bootMillis();
        StoreRevision since = evacuations.revision();
        store.watch(
                ObjectKind.EVACUATIONS,
                since,
                waitMillis,
                sequence.callback((StoreResult<ChangeBatch<EvacuationRequest>> answer) ->
                        onChanges(answer, since, requestedAtMillis, waitMillis)));
    }

    private void onChanges(
            StoreResult<ChangeBatch<EvacuationRequest>> answer,
            StoreRevision since,
            long requestedAtMillis,
            long waitMillis) {
        switch (answer) {
            case StoreResult.Ok<ChangeBatch<EvacuationRequest>>(ChangeBatch<EvacuationRequest> batch) -> {
                recordStoreReachable();
                if (batch.changes().isEmpty()) {
                    confirmEmpty(batch.revision(), requestedAtMillis, waitMillis);
                    watch();
                } else if (since.equals(evacuations.revision()) && isReadable(batch)) {
                    apply(batch, requestedAtMillis);
                    sequence.schedule(() -> watch(CONFIRM_TIMEOUT_MILLIS), BATCH_DELAY_MILLIS);
                } else {
                    // A relay has told of some of these changes, or a name cannot be read: a listing has the state.
                    sequence.schedule(this::list, BATCH_DELAY_MILLIS);
                }
            }
            case StoreResult.HistoryExpired<ChangeBatch<EvacuationRequest>> expired ->
                sequence.schedule(this::list, RETRY_DELAY_MILLIS);
            default -> retry(answer);
        }
    }

    /** An empty response after the full wait confirms that nothing changed while the store waited. */
    private void confirmEmpty(StoreRevision revision, long requestedAtMillis, long waitMillis) {
        if (revision.compareTo(evacuations.revision()) < 0) {
            return;
        }
        boolean waited = clocks.bootMillis() - requestedAtMillis >= waitMillis;
        confirm(revision, requestedAtMillis + (waited ? (long) (waitMillis * CONFIRMED_WAIT_FRACTION) : 0));
    }

    private void apply(ChangeBatch<EvacuationRequest> batch, long requestedAtMillis) {
        boolean changed = false;
        for (ChangeBatch.Change<EvacuationRequest> change : batch.changes()) {
            FailureDomain domain = domain(change.object());
            changed |= change.deleted()
                    ? end(domain, requestedAtMillis, FROM_STORE)
                    : begin(domain, requestedAtMillis, FROM_STORE);
        }
        confirm(batch.revision(), requestedAtMillis);
        if (changed) {
            onChange.run();
        }
    }

    private void replaceAll(Set<FailureDomain> domains, StoreRevision revision, long asOfMillis, String source) {
        boolean changed = false;
        for (FailureDomain domain : evacuations.evacuated()) {
            changed |= !domains.contains(domain) && end(domain, asOfMillis, source);
        }
        for (FailureDomain domain : domains) {
            changed |= begin(domain, asOfMillis, source);
        }
        confirm(revision, asOfMillis);
        if (changed) {
            onChange.run();
        }
    }

    private boolean begin(FailureDomain domain, long asOfMillis, String source) {
        return evacuations.begin(domain) && logChange("begun", domain, asOfMillis, source);
    }

    private boolean end(FailureDomain domain, long asOfMillis, String source) {
        return evacuations.end(domain, clocks.steadyMillis()) && logChange("ended", domain, asOfMillis, source);
    }

    private boolean logChange(String event, FailureDomain domain, long asOfMillis, String source) {
        long ageMillis = clocks.bootMillis() - asOfMillis;
        log.write(EventLog.Component.EVACUATION, event, "domain", domain, "age_ms", ageMillis, "from", source);
        return true;
    }

    private void confirm(StoreRevision revision, long asOfMillis) {
        evacuations.confirm(revision, asOfMillis);
        learnedAtMillis = clocks.bootMillis();
    }

    private boolean isReadable(ChangeBatch<EvacuationRequest> batch) {
        return batch.changes().stream().allMatch(change -> isReadable(change.object()));
    }

    /** Only a name can be unreadable: a content says nothing, so that an entry is in force whatever it contains. */
    private boolean isReadable(StoredObject<EvacuationRequest> object) {
        if (object.name().isBlank()) {
            log.write(
                    EventLog.Component.EVACUATION,
                    "unreadable",
                    "revision",
                    object.revision().number());
            return false;
        }
        return true;
    }

    private static FailureDomain domain(StoredObject<EvacuationRequest> object) {
        return new FailureDomain(object.name());
    }

    private void retry(StoreResult<?> answer) {
        if (storeReachable) {
            storeReachable = false;
            log.write(EventLog.Component.EVACUATION, "store-lost", "answer", answer, "age_ms", ageMillis());
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
            log.write(EventLog.Component.EVACUATION, "store-reached");
        }
    }
}
