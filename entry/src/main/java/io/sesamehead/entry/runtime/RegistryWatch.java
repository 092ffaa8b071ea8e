package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Follows the registry of upstreams. */
final class RegistryWatch {
    /** Longest wait of one watch, in milliseconds: a connection that went silent is noticed within the drain bound. */
    private static final long WATCH_MILLIS = 1_200;
    /** Pause before the next watch after changes, in milliseconds: changes that come together cost one call. */
    private static final long GATHER_MILLIS = 200;
    /** The same at the controller, whose orders follow one another through the registry, in milliseconds. */
    private static final long CONTROLLER_GATHER_MILLIS = 40;
    /** Failures shorter than this are no outage in which entries lapse, in milliseconds: below one heartbeat. */
    private static final long SHORT_FAILURE_MILLIS = 800;
    /** Pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 150;
    /** The same in a deployment with relays, in milliseconds: together the daemons stay below the store's rate. */
    private static final long RELAYED_RETRY_MILLIS = 600;
    /** Age of what a relay knows, in milliseconds, up to which it is taken: a watch, a pause and two reports. */
    private static final long RELAYED_MILLIS = 2_400;
    /** Time without the full word of a relay after which the store is asked, in milliseconds: four reports. */
    private static final long BEHIND_MILLIS = 700;
    /** Interval of looking whether a relay still tells, in milliseconds: about that of its reports. */
    private static final long LOOK_MILLIS = 200;

    /** Wait of a question for what has changed until now, in milliseconds: the shortest that the store takes. */
    private static final long REFRESH_MILLIS = 1;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private final Clocks clocks;
    private final ObjectStore store;
    private final UpstreamRegistry registry;
    private final EventLog log;
    private final Runnable onChange;
    private final BooleanSupplier controller;
    private final RecentChanges recent = new RecentChanges();
    private boolean relaysHeard;
    private long relayedAt = NEVER;
    private long revision;
    private long confirmedAt = NEVER;
    private boolean refreshing;
    private boolean failing;
    private long failingSince;

    RegistryWatch(
            EventLoop loop,
            Clocks clocks,
            ObjectStore store,
            UpstreamRegistry registry,
            EventLog log,
            Runnable onChange,
            BooleanSupplier controller) {
        this.loop = loop;
        this.clocks = clocks;
        this.store = store;
        this.registry = registry;
        this.log = log;
        this.onChange = onChange;
        this.controller = controller;
    }

    /** A list that is some seconds old costs the store a tenth; the first watch then brings what has changed since. */
    void start() {
        list(true);
    }

    /** Returns the revision up to which changes are known, or 0 before the first answer. */
    long revision() {
        return revision;
    }

    /** Returns the changes that a relay passes on now. */
    RecentChanges.Delta recentChanges() {
        return recent.deltaTo(revision, clocks.steadyMillis());
    }

    /**
     * Takes a relay's word of the registry.
     *
     * @param told revision up to which the relay knows it
     * @param ageMillis time since the store answered the relay, in milliseconds
     * @param changes the last changes up to that revision
     */
    void relayed(long told, long ageMillis, RecentChanges.Delta changes) {
        long now = clocks.steadyMillis();
        if (revision == 0 || ageMillis > RELAYED_MILLIS) {
            return;
        }
        relaysHeard = true;
        if (told > revision && changes.sinceRevision() <= revision) {
            List<ChangeBatch.Change<UpstreamEntry>> unknown = changes.changes().stream()
                    .filter(change -> change.object().revision() > revision)
                    .toList();
            revision = told;
            apply(unknown, now);
        }
        if (told <= revision) {
            relayedAt = now;
            noteAnswer(now - ageMillis);
        }
    }

    /**
     * Tells whether all changes up to a moment are known from the store itself.
     *
     * @param steadyMillis the moment
     * @return true once the store has answered a question that was asked later
     */
    boolean confirmedSince(long steadyMillis) {
        return confirmedAt > steadyMillis;
    }

    /** Asks the store for what has changed until now, beside a watch that waits. */
    void refresh() {
        if (refreshing || revision == 0) {
            return;
        }
        refreshing = true;
        long askedAt = clocks.steadyMillis();
        long since = revision;
        store.watch(ObjectKind.UPSTREAMS, since, REFRESH_MILLIS, answer -> {
            refreshing = false;
            if (answer instanceof StoreResult.Ok<ChangeBatch<UpstreamEntry>>(ChangeBatch<UpstreamEntry> changes)) {
                onRefreshed(since, askedAt, changes);
            }
        });
    }

    /** Changes that another answer has overtaken are dropped; the question is then asked again. */
    private void onRefreshed(long since, long askedAt, ChangeBatch<UpstreamEntry> changes) {
        if (since == revision) {
            take(since, changes);
        }
        if (changes.revision() <= revision) {
            confirmedAt = Math.max(confirmedAt, askedAt);
        }
    }

    private boolean relayed() {
        return revision > 0 && clocks.steadyMillis() - relayedAt <= BEHIND_MILLIS;
    }

    private void resume() {
        // What changed during a short failure is in the store's history; a list of all upstreams takes many calls.
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
        long askedAt = clocks.steadyMillis();
        store.list(ObjectKind.UPSTREAMS, mayBeOld, answer -> onListing(answer, mayBeOld, askedAt));
    }

    private void onListing(StoreResult<Listing<UpstreamEntry>> answer, boolean mayBeOld, long askedAt) {
        if (!(answer instanceof StoreResult.Ok<Listing<UpstreamEntry>>(Listing<UpstreamEntry> listing))) {
            retry(answer);
            return;
        }
        if (!mayBeOld) {
            noteAnswer(clocks.steadyMillis());
            confirmedAt = Math.max(confirmedAt, askedAt);
        }
        recent.clear();
        revision = listing.revision();
        List<String> unreadable = registry.replaceAll(listing.objects(), clocks.steadyMillis());
        unreadable.forEach(name -> log.write(EventLog.Component.REGISTRY, "unreadable", "entry", name));
        log.write(
                EventLog.Component.REGISTRY, "listed", "entries", listing.objects().size(), "revision", listing.revision());
        onChange.run();
        if (mayBeOld) {
            refresh();
        }
        watch();
    }

    /** Asks the store, or waits while a relay tells all changes. */
    private void watch() {
        if (!controller.getAsBoolean() && relayed()) {
            loop.schedule(this::watch, LOOK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        long since = revision;
        long askedAt = clocks.steadyMillis();
        store.watch(ObjectKind.UPSTREAMS, since, WATCH_MILLIS, answer -> onChanges(since, askedAt, answer));
    }

    private void onChanges(long since, long askedAt, StoreResult<ChangeBatch<UpstreamEntry>> answer) {
        if (!(answer instanceof StoreResult.Ok<ChangeBatch<UpstreamEntry>>(ChangeBatch<UpstreamEntry> changes))) {
            retry(answer);
            return;
        }
        if (changes.revision() < revision) {
            noteAnswer(clocks.steadyMillis());
            watch();
            return;
        }
        take(since, changes);
        confirmedAt = Math.max(confirmedAt, askedAt);
        if (changes.changes().isEmpty()) {
            watch();
            return;
        }
        long gather = controller.getAsBoolean() ? CONTROLLER_GATHER_MILLIS : GATHER_MILLIS;
        loop.schedule(this::watch, gather, TimeUnit.MILLISECONDS);
    }

    private void take(long since, ChangeBatch<UpstreamEntry> changes) {
        long now = clocks.steadyMillis();
        noteAnswer(now);
        recent.add(since, changes, now);
        revision = changes.revision();
        apply(changes.changes(), now);
    }

    private void noteAnswer(long answeredAtMillis) {
        registry.recordStoreAnswer(answeredAtMillis, failing && answeredAtMillis - failingSince > SHORT_FAILURE_MILLIS);
        if (failing) {
            failing = false;
            log.write(EventLog.Component.REGISTRY, "store-reached");
        }
    }

    private void retry(StoreResult<?> answer) {
        boolean historyGone = answer instanceof StoreResult.HistoryExpired<?>;
        if (!historyGone && !failing) {
            failing = true;
            failingSince = clocks.steadyMillis();
            log.write(EventLog.Component.REGISTRY, "store-lost", "answer", answer);
        }
        long pause = relaysHeard ? RELAYED_RETRY_MILLIS : RETRY_MILLIS;
        loop.schedule(historyGone ? () -> list(false) : this::resume, historyGone ? 0 : pause, TimeUnit.MILLISECONDS);
    }
}
