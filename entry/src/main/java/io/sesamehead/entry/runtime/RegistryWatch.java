package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.Changes;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreAnswer;
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

    private final EventLoop loop;
    private final Clocks clocks;
    private final ObjectStore store;
    private final UpstreamRegistry registry;
    private final EventLog log;
    private final Runnable onChange;
    private final BooleanSupplier controller;
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

    void start() {
        list();
    }

    private void list() {
        store.list(ObjectKind.UPSTREAMS, false, this::onListing);
    }

    private void onListing(StoreAnswer<Listing<UpstreamEntry>> answer) {
        if (!(answer instanceof StoreAnswer.Done<Listing<UpstreamEntry>>(Listing<UpstreamEntry> listing))) {
            retry(answer);
            return;
        }
        noteAnswer();
        List<String> unreadable = registry.replaceAll(listing.objects(), clocks.steadyMillis());
        unreadable.forEach(name -> log.write(EventLog.Part.REGISTRY, "unreadable", "entry", name));
        log.write(
                EventLog.Part.REGISTRY, "listed", "entries", listing.objects().size(), "revision", listing.revision());
        onChange.run();
        watch(listing.revision());
    }

    private void watch(long revision) {
        store.watch(ObjectKind.UPSTREAMS, revision, WATCH_MILLIS, this::onChanges);
    }

    private void onChanges(StoreAnswer<Changes<UpstreamEntry>> answer) {
        if (!(answer instanceof StoreAnswer.Done<Changes<UpstreamEntry>>(Changes<UpstreamEntry> changes))) {
            retry(answer);
            return;
        }
        noteAnswer();
        long now = clocks.steadyMillis();
        for (Changes.Change<UpstreamEntry> change : changes.changes()) {
            if (!registry.apply(change, now)) {
                log.write(
                        EventLog.Part.REGISTRY,
                        "unreadable",
                        "entry",
                        change.object().name());
            }
        }
        if (changes.changes().isEmpty()) {
            watch(changes.revision());
            return;
        }
        onChange.run();
        long gather = controller.getAsBoolean() ? CONTROLLER_GATHER_MILLIS : GATHER_MILLIS;
        loop.schedule(() -> watch(changes.revision()), gather, TimeUnit.MILLISECONDS);
    }

    private void noteAnswer() {
        long now = clocks.steadyMillis();
        registry.storeAnswered(now, failing && now - failingSince > SHORT_FAILURE_MILLIS);
        if (failing) {
            failing = false;
            log.write(EventLog.Part.REGISTRY, "store-reached");
        }
    }

    private void retry(StoreAnswer<?> answer) {
        boolean historyGone = answer instanceof StoreAnswer.HistoryGone<?>;
        if (!historyGone && !failing) {
            failing = true;
            failingSince = clocks.steadyMillis();
            log.write(EventLog.Part.REGISTRY, "store-lost", "answer", answer);
        }
        loop.schedule(this::list, historyGone ? 0 : RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
