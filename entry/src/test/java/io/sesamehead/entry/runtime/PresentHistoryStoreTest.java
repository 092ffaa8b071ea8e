package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.store.StoreHistory;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.StoreRevision;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against results of a store's older history, and against requests that refer to it. */
final class PresentHistoryStoreTest {
    private static final StoreRevision OLD = new StoreRevision(1, 50);
    private static final StoreRevision NEW = new StoreRevision(2, 20);
    private static final Lease LEASE = new Lease(new DaemonId("d"), new Incarnation(1), 1, 1_500, 0);

    private final StoreHistory history = new StoreHistory();
    private final FakeStore raw = new FakeStore();
    private final PresentHistoryStore store = new PresentHistoryStore(raw, history, Runnable::run);
    private final List<StoreResult<?>> results = new ArrayList<>();

    @BeforeEach
    void beginInEraOne() {
        history.record(1);
    }

    private StoreResult<?> listing(StoreRevision revision, StoreRevision object) {
        store.list(ObjectKind.CONTROLLER_LEASE, true, results::add);
        List<StoredObject<Lease>> objects = List.of(new StoredObject<>("controller", object, Optional.of(LEASE)));
        return raw.answer(new StoreResult.Ok<>(new Listing<>(objects, revision)));
    }

    private StoreResult<?> written(StoreResult<?> answer) {
        store.write(ObjectKind.CONTROLLER_LEASE, "controller", Optional.of(OLD), LEASE, results::add);
        history.record(2);
        return raw.answer(answer);
    }

    @Test
    void listingOfOlderEraIsNoResponse() {
        assertThat(listing(OLD, OLD)).isInstanceOf(StoreResult.Ok.class);
        history.record(2);
        assertThat(listing(OLD, OLD)).isInstanceOf(StoreResult.NoResponse.class);
        assertThat(listing(NEW, NEW)).isInstanceOf(StoreResult.Ok.class);
    }

    @Test
    void listingWithPagesOfTwoErasIsNoResponse() {
        history.record(2);
        assertThat(listing(OLD, NEW)).isInstanceOf(StoreResult.NoResponse.class);
        assertThat(listing(NEW, OLD)).isInstanceOf(StoreResult.NoResponse.class);
    }

    @Test
    void watchEndsWithItsHistory() {
        store.watch(ObjectKind.CONTROLLER_LEASE, OLD, 100, results::add);
        history.record(2);
        assertThat(raw.answer(new StoreResult.Ok<>(new ChangeBatch<>(List.of(), NEW))))
                .isInstanceOf(StoreResult.HistoryExpired.class);

        store.watch(ObjectKind.CONTROLLER_LEASE, OLD, 100, results::add);
        assertThat(results.getLast()).isInstanceOf(StoreResult.HistoryExpired.class);
        assertThat(raw.calls).isEqualTo(1);

        store.watch(ObjectKind.CONTROLLER_LEASE, NEW, 100, results::add);
        assertThat(raw.answer(new StoreResult.Ok<>(new ChangeBatch<>(List.of(), OLD))))
                .isInstanceOf(StoreResult.NoResponse.class);
    }

    @Test
    void writeAcrossRestoreHasUnknownEffect() {
        assertThat(written(new StoreResult.Ok<>(new StoredObject<>("controller", NEW, Optional.of(LEASE)))))
                .isInstanceOf(StoreResult.NoResponse.class);
    }

    @Test
    void refusedWriteAcrossRestoreHasNoEffect() {
        assertThat(written(new StoreResult.Refused<>("status 503"))).isInstanceOf(StoreResult.Refused.class);
    }

    @Test
    void doesNotSendWriteWithConditionOfOlderEra() {
        history.record(2);
        store.write(ObjectKind.CONTROLLER_LEASE, "controller", Optional.of(OLD), LEASE, results::add);

        assertThat(results.getLast()).isInstanceOf(StoreResult.Conflict.class);
        assertThat(raw.calls).isZero();
    }

    private final class FakeStore implements ObjectStore {
        private Consumer<StoreResult<Object>> pending = result -> {};
        private int calls;

        @SuppressWarnings("unchecked")
        private StoreResult<?> answer(StoreResult<?> answer) {
            pending.accept((StoreResult<Object>) answer);
            return results.getLast();
        }

        @SuppressWarnings("unchecked")
        private <V> void call(Consumer<StoreResult<V>> done) {
            calls++;
            pending = (Consumer<StoreResult<Object>>) (Consumer<?>) done;
        }

        @Override
        public <T> void list(ObjectKind<T> kind, boolean allowStale, Consumer<StoreResult<Listing<T>>> done) {
            call(done);
        }

        @Override
        public <T> void watch(
                ObjectKind<T> kind, StoreRevision since, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done) {
            call(done);
        }

        @Override
        public <T> void write(
                ObjectKind<T> kind,
                String name,
                Optional<StoreRevision> expected,
                T content,
                Consumer<StoreResult<StoredObject<T>>> done) {
            call(done);
        }
    }
}
