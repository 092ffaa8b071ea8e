package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.CrashRecord;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.StoreRevision;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Guards against losing the refused requests when all daemons stop at once. */
final class CrashRecorderTest {
    private static final CrashSubject FIRST = new CrashSubject(1);
    private static final CrashSubject SECOND = new CrashSubject(2);

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final FakeClocks clocks = new FakeClocks(1_000_000);
    private final FakeStore store = new FakeStore();
    private long wallClockMillis = 5_000_000;

    private CrashRecorder recorder(CrashHistory history) {
        return new CrashRecorder(
                loop,
                clocks,
                () -> Instant.ofEpochMilli(wallClockMillis),
                store,
                history,
                new EventLog(clocks),
                new SplittableRandom(1));
    }

    private void crash(CrashHistory history, CrashSubject request) {
        for (int target = 0; target < 3; target++) {
            history.recordCrash(request, new TargetKey("t" + target, 1), clocks.now - 10, clocks.now);
        }
    }

    /** Starts a daemon, which reads the store but writes nothing as long as it has no refused request of its own. */
    private CrashHistory startDaemon() throws Exception {
        CrashHistory history = new CrashHistory();
        recorder(history).start();
        loop.submit(() -> {}).get();
        return history;
    }

    @Test
    void readsRequestsOfAllWritersAtStart() throws Exception {
        CrashHistory one = new CrashHistory();
        CrashHistory two = new CrashHistory();
        crash(one, FIRST);
        recorder(one).writeIfChanged();
        crash(two, SECOND);
        recorder(two).writeIfChanged();

        CrashHistory later = startDaemon();

        assertThat(later.isRefused(FIRST, clocks.now)).isTrue();
        assertThat(later.isRefused(SECOND, clocks.now)).isTrue();
        assertThat(store.writes).isEqualTo(2);
    }

    @Test
    void retriesFailedOrConflictingWrite() throws Exception {
        CrashHistory one = new CrashHistory();
        CrashRecorder recorder = recorder(one);
        crash(one, FIRST);
        store.failures.add(new StoreResult.NoResponse<>("lost"));
        store.failures.add(new StoreResult.Conflict<>());
        for (int second = 0; second < 4; second++) {
            recorder.writeIfChanged();
            clocks.now += 1_000;
        }

        assertThat(startDaemon().isRefused(FIRST, clocks.now)).isTrue();
        assertThat(store.writes).isEqualTo(3);
    }

    @Test
    void expiresRequestByItsStoredAge() throws Exception {
        CrashHistory one = new CrashHistory();
        crash(one, FIRST);
        recorder(one).writeIfChanged();

        wallClockMillis += 599_000;
        assertThat(startDaemon().isRefused(FIRST, clocks.now)).isTrue();
        wallClockMillis += 2_000;
        assertThat(startDaemon().isRefused(FIRST, clocks.now)).isFalse();
    }

    /** A daemon started while the store refused calls had no refused requests until the next read, minutes later. */
    @Test
    void retriesFailedInitialRead() throws Exception {
        CrashHistory one = new CrashHistory();
        crash(one, FIRST);
        recorder(one).writeIfChanged();
        store.listsToRefuse = 1;
        CrashHistory later = startDaemon();
        assertThat(later.isRefused(FIRST, clocks.now)).isFalse();

        Thread.sleep(1_300);

        assertThat(loop.submit(() -> later.isRefused(FIRST, clocks.now)).get()).isTrue();
    }

    /** A restored store has lost what was written since its copy; the next loss of all daemons would forget it. */
    @Test
    void writesAgainWhatRestoredStoreLacks() throws Exception {
        CrashHistory one = new CrashHistory();
        CrashRecorder recorder = recorder(one);
        crash(one, FIRST);
        recorder.writeIfChanged();
        store.object = Optional.empty();
        recorder.onStoreRestored();
        store.listsToRefuse = 1;
        runFor(recorder, 10_000);

        assertThat(startDaemon().isRefused(FIRST, clocks.now)).isTrue();
        assertThat(store.writes).isEqualTo(2);
    }

    @Test
    void writesNothingThatRestoredStoreHas() {
        CrashHistory one = new CrashHistory();
        CrashRecorder recorder = recorder(one);
        crash(one, FIRST);
        recorder.writeIfChanged();
        recorder.onStoreRestored();
        store.listsToRefuse = 1;
        runFor(recorder, 10_000);

        assertThat(store.writes).isEqualTo(1);
        assertThat(store.lists).isEqualTo(3);
    }

    private void runFor(CrashRecorder recorder, long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            clocks.now += 50;
            recorder.writeIfChanged();
        }
    }

    @Test
    void makesNoStoreCallsBelowCrashLimit() {
        CrashHistory one = new CrashHistory();
        CrashRecorder recorder = recorder(one);
        for (int request = 0; request < 100; request++) {
            one.recordCrash(new CrashSubject(request), new TargetKey("t", 1), clocks.now - 10, clocks.now);
            recorder.writeIfChanged();
        }

        assertThat(store.lists + store.writes).isZero();
    }

    private static final class FakeStore implements ObjectStore {
        private final List<StoreResult<StoredObject<CrashRecord>>> failures = new ArrayList<>();
        private Optional<StoredObject<CrashRecord>> object = Optional.empty();
        private int lists;
        private int listsToRefuse;
        private int writes;

        @Override
        @SuppressWarnings("unchecked")
        public <T> void list(ObjectKind<T> kind, boolean mayBeOld, Consumer<StoreResult<Listing<T>>> done) {
            lists++;
            if (listsToRefuse > 0) {
                listsToRefuse--;
                done.accept(new StoreResult.Refused<>("status 503"));
                return;
            }
            List<StoredObject<T>> objects =
                    object.map(found -> List.of((StoredObject<T>) found)).orElse(List.of());
            done.accept(new StoreResult.Ok<>(new Listing<>(objects, new StoreRevision(0, 1))));
        }

        @Override
        public <T> void watch(
                ObjectKind<T> kind, StoreRevision since, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done) {
            throw new UnsupportedOperationException("this test does not expect a watch");
        }

        @Override
        @SuppressWarnings("unchecked")
        public <T> void write(
                ObjectKind<T> kind,
                String name,
                Optional<StoreRevision> expected,
                T content,
                Consumer<StoreResult<StoredObject<T>>> done) {
            writes++;
            if (!failures.isEmpty()) {
                done.accept((StoreResult<StoredObject<T>>) (StoreResult<?>) failures.remove(0));
                return;
            }
            assertThat(expected).isEqualTo(object.map(StoredObject::revision));
            object = Optional.of(
                    new StoredObject<>(name, new StoreRevision(0, writes), Optional.of((CrashRecord) content)));
            done.accept(new StoreResult.Ok<>((StoredObject<T>) object.get()));
        }
    }
}
