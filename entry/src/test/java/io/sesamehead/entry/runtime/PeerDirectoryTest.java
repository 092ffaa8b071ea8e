package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.sesamehead.coordination.membership.ReportTopology;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.DaemonEndpoint;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.StoreRevision;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that does not find its relay, and against many daemons that list often. */
final class PeerDirectoryTest {
    private static final long STEP_MILLIS = 50;
    private static final int DAEMONS = 95;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeClocks clocks = new FakeClocks(100_000);
    private final FakeStore store = new FakeStore();
    private PeerDirectory directory;

    @BeforeEach
    void startWithFewDaemonsListed() {
        channel.freezeTime();
        store.daemonCount = 5;
        FailureDomain domain = new FailureDomain("a");
        Endpoint own = new Endpoint("127.0.0.1", 1);
        EntrySettings settings = new EntrySettings(
                "self", domain, own, own, Optional.empty(), own, 1, 1, 1, 1, 1, 1, true, 0, 0, 1, 1_200);
        directory = new PeerDirectory(
                channel.eventLoop(),
                clocks,
                settings,
                store,
                new ReportTopology(new DaemonId("self"), domain),
                new EventLog(clocks));
        directory.start();
        run(STEP_MILLIS);
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clocks.now += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            channel.runPendingTasks();
        }
    }

    @Test
    void listsDaemonsThatStartTogether() {
        store.daemonCount = DAEMONS;
        run(2_000);

        assertThat(directory.addresses()).hasSize(DAEMONS);
    }

    @Test
    void backsOffOnceListed() {
        run(60_000);
        int before = store.listCalls;
        run(60_000);

        assertThat(store.listCalls - before).isLessThanOrEqualTo(4);
    }

    @Test
    void listsAfterReportFromUnlistedDaemon() {
        run(60_000);
        store.daemonCount = 6;
        // Reports repeat; one that arrives within a second of a listing does not trigger another.
        for (int report = 0; report < 8; report++) {
            directory.onReport(new DaemonId("d-5"), new InetSocketAddress("127.0.0.1", 1_005));
            run(150);
        }

        assertThat(directory.addresses()).hasSize(6);
    }

    /** A restored store may have lost the registration, as may one whose object was removed. */
    @Test
    void registersAgainWhenEntryIsMissing() {
        run(60_000);
        assertThat(store.writes).isEqualTo(1);
        store.registration = Optional.empty();
        store.revision++;
        run(16_000);

        assertThat(store.writes).isEqualTo(2);
        assertThat(store.registration).isPresent();
    }

    @Test
    void registersAgainSoonAfterRestore() {
        run(60_000);
        store.registration = Optional.empty();
        store.era++;
        store.revision = 1;
        directory.onStoreRestored();
        run(2_100);

        assertThat(store.registration).isPresent();
    }

    /** Listings may be seconds old. */
    @Test
    void registersOnceWhileListingIsOlderThanRegistration() {
        store.registration = Optional.empty();
        store.revision--;
        run(10_000);

        assertThat(store.writes).isEqualTo(1);
    }

    @Test
    void keepsKnownDaemonsThatCopyDoesNotList() {
        run(60_000);
        store.daemonCount = 1;
        store.era++;
        directory.onStoreRestored();
        run(3_000);
        assertThat(directory.addresses()).hasSize(5);
        run(20_000);

        assertThat(directory.addresses()).hasSize(1);
    }

    /** Guards against a list that lacks daemons, or that contains this one before the others can know of it. */
    @Test
    void latestListContainsThisDaemonOnceStoreListsIt() {
        assertThat(directory.latestList().orElseThrow().daemons()).hasSize(5).doesNotContain(new DaemonId("self"));
        run(2_000);

        PeerDirectory.DaemonList list = directory.latestList().orElseThrow();
        assertThat(list.daemons()).hasSize(6).contains(new DaemonId("self"));
        assertThat(clocks.now - list.requestedAtMillis()).isBetween(0L, 2_000L);
    }

    private static final class FakeStore implements ObjectStore {
        private int daemonCount;
        private int listCalls;
        private int writes;
        private long era;
        private long revision = 1;
        private Optional<StoredObject<DaemonEndpoint>> registration = Optional.empty();

        @Override
        @SuppressWarnings("unchecked")
        public <T> void list(ObjectKind<T> kind, boolean mayBeOld, Consumer<StoreResult<Listing<T>>> done) {
            listCalls++;
            List<StoredObject<T>> objects = new ArrayList<>();
            for (int i = 0; i < daemonCount; i++) {
                DaemonEndpoint endpoint =
                        new DaemonEndpoint(new Endpoint("127.0.0.1", 1_000 + i), new FailureDomain("a"));
                objects.add((StoredObject<T>)
                        new StoredObject<>("d-" + i, new StoreRevision(era, 1), Optional.of(endpoint)));
            }
            registration.ifPresent(object -> objects.add((StoredObject<T>) object));
            done.accept(new StoreResult.Ok<>(new Listing<>(objects, new StoreRevision(era, revision))));
        }

        @Override
        public <T> void watch(
                ObjectKind<T> kind, StoreRevision since, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done) {
            throw new UnsupportedOperationException("watch is not supported");
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
            revision++;
            StoredObject<T> object = new StoredObject<>(name, new StoreRevision(era, revision), Optional.of(content));
            registration = Optional.of((StoredObject<DaemonEndpoint>) object);
            done.accept(new StoreResult.Ok<>(object));
        }
    }
}
