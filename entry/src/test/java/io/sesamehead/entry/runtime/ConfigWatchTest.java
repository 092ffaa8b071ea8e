package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.catalog.CallLimits;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.StoreRevision;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that trusts, or watches on in, a history that a restored store no longer has. */
final class ConfigWatchTest {
    private static final long STEP_MILLIS = 10;
    private static final long KEY_LEASE_MILLIS = 3_600;
    private static final long CONVERGE_MILLIS = 2_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeClocks clocks = new FakeClocks(1_000_000);
    private final FakeStore store = new FakeStore();
    private final ActiveConfig activeConfig = new ActiveConfig(KEY_LEASE_MILLIS);
    private final ConfigWatch watch = new ConfigWatch(
            channel.eventLoop(), clocks, store, activeConfig, CONVERGE_MILLIS, new EventLog(clocks), () -> {});

    @BeforeEach
    void readVersionSeven() {
        channel.freezeTime();
        store.put(5, 2_000);
        store.put(7, 2_000);
        watch.start();
        run(2_000);
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clocks.now += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            store.answerDue();
        }
    }

    private long version() {
        return activeConfig.table().map(table -> table.config().version()).orElse(0L);
    }

    private long idleTimeoutMillis() {
        return activeConfig.table().orElseThrow().config().limits().idleTimeoutMillis();
    }

    @Test
    void olderCopyDoesNotRenewKeys() {
        store.restore(1);
        run(KEY_LEASE_MILLIS + 1_000);

        assertThat(version()).isEqualTo(7);
        assertThat(activeConfig.fresh(clocks.now)).isFalse();
        store.put(7, 2_000);
        run(1_000);
        assertThat(activeConfig.ageMillis(clocks.now)).isLessThan(1_000);
    }

    /** A daemon that starts after the restore must not use keys that a newer version has removed. */
    @Test
    void keysOfOldCopyEndWhenRelayReportsNewerVersion() {
        watch.onRelayedVersion(9, clocks.now);
        run(1_500);

        assertThat(activeConfig.fresh(clocks.now)).isFalse();
    }

    /** The relay may have read the version before the restore. */
    @Test
    void relayDoesNotConfirmVersionThatStoreHasLost() {
        store.restore(1);
        for (int report = 0; report < 30; report++) {
            run(180);
            watch.onRelayedVersion(7, clocks.now - 180);
        }

        assertThat(activeConfig.fresh(clocks.now)).isFalse();
    }

    /** The number watched from is given out again, so that the watch sees no change, or lies above the store's. */
    @Test
    void versionWrittenAgainIsActiveInTime() {
        store.restore(1);
        watch.onStoreRestored();
        run(100);
        store.put(8, 2_000);
        run(100);

        assertThat(version()).isEqualTo(8);
    }

    @Test
    void keepsOneWatchAfterRestores() {
        for (int restore = 0; restore < 5; restore++) {
            store.restore(2);
            watch.onStoreRestored();
            run(50);
        }
        run(2_000);
        int before = store.lists + store.watchCalls;
        run(9_000);

        assertThat(store.watches).hasSize(1);
        assertThat(store.lists + store.watchCalls - before).isBetween(9, 11);
    }

    /** The operators of a restored store may assign a version again; a relay's confirmation does not tell which it means. */
    @Test
    void otherContentOfSameVersionReplacesLostOne() {
        store.restore(1);
        watch.onStoreRestored();
        run(500);
        watch.onRelayedVersion(7, clocks.now - 10);
        store.put(7, 3_000);
        run(500);

        assertThat(idleTimeoutMillis()).isEqualTo(3_000);
    }

    /** Keeps the versions of one configuration; answers carry the era, and a rise is reported before the answer. */
    private final class FakeStore implements ObjectStore {
        private static final long ANSWER_MILLIS = 10;

        private final List<StoredObject<ServingConfig>> versions = new ArrayList<>();
        private final List<PendingWatch> watches = new ArrayList<>();
        private long era = 1;
        private long lastReportedEra = 1;
        private int lists;
        private int watchCalls;

        private record PendingWatch(
                StoreRevision since, long untilMillis, Consumer<StoreResult<ChangeBatch<?>>> done) {}

        private void put(long version, long idleTimeoutMillis) {
            CallLimits limits = new CallLimits(1 << 14, 1 << 20, 2_000, idleTimeoutMillis);
            versions.add(new StoredObject<>(
                    "main",
                    new StoreRevision(era, revision() + 1),
                    Optional.of(new ServingConfig(version, List.of(), Map.of(), limits, true, Map.of()))));
        }

        /** Comes back with the first writes only. A pending watch of the older history stays open until its end. */
        private void restore(int kept) {
            versions.subList(kept, versions.size()).clear();
            era++;
        }

        private long revision() {
            return versions.size() + 1;
        }

        private void answerDue() {
            for (PendingWatch pending : List.copyOf(watches)) {
                boolean sameHistory = pending.since().era() == era;
                boolean changed = sameHistory && pending.since().number() < revision();
                if (changed || clocks.now >= pending.untilMillis()) {
                    watches.remove(pending);
                    answer(pending.done(), () -> changes(pending.since()));
                }
            }
        }

        private StoreResult<ChangeBatch<?>> changes(StoreRevision since) {
            if (since.number() > revision()) {
                return new StoreResult.HistoryExpired<>();
            }
            List<ChangeBatch.Change<ServingConfig>> changes = versions.stream()
                    .filter(object -> object.revision().number() > since.number())
                    .map(object -> new ChangeBatch.Change<>(object, false))
                    .toList();
            return new StoreResult.Ok<>(new ChangeBatch<>(changes, new StoreRevision(era, revision())));
        }

        private <V> void answer(Consumer<StoreResult<V>> done, Supplier<StoreResult<V>> result) {
            channel.eventLoop()
                    .schedule(
                            () -> {
                                if (era > lastReportedEra) {
                                    lastReportedEra = era;
                                    watch.onStoreRestored();
                                }
                                done.accept(result.get());
                            },
                            ANSWER_MILLIS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        @SuppressWarnings("unchecked")
        public <T> void list(ObjectKind<T> kind, boolean mayBeOld, Consumer<StoreResult<Listing<T>>> done) {
            lists++;
            answer(done, () -> {
                List<StoredObject<T>> last =
                        versions.isEmpty() ? List.of() : List.of((StoredObject<T>) versions.get(versions.size() - 1));
                return new StoreResult.Ok<>(new Listing<>(last, new StoreRevision(era, revision())));
            });
        }

        @Override
        @SuppressWarnings("unchecked")
        public <T> void watch(
                ObjectKind<T> kind, StoreRevision since, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done) {
            Consumer<StoreResult<ChangeBatch<?>>> untyped =
                    result -> done.accept((StoreResult<ChangeBatch<T>>) (StoreResult<?>) result);
            watchCalls++;
            watches.add(new PendingWatch(since, clocks.now + waitMillis, untyped));
        }

        @Override
        public <T> void write(
                ObjectKind<T> kind,
                String name,
                Optional<StoreRevision> expected,
                T content,
                Consumer<StoreResult<StoredObject<T>>> done) {
            throw new UnsupportedOperationException("the configuration is not written");
        }
    }
}
