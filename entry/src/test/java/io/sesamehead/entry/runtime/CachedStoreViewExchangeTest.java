package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.catalog.CallLimits;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.evacuation.Evacuations;
import io.sesamehead.coordination.replica.MemberState;
import io.sesamehead.coordination.replica.Membership;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.coordination.store.StoreHistory;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.entry.protocol.generated.StoreView;
import io.sesamehead.entry.protocol.generated.UpstreamChange;
import io.sesamehead.entry.protocol.generated.UpstreamRecord;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.StoreRevision;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against daemons that all query the store, and against data from a relay that is older than its stated age. */
final class CachedStoreViewExchangeTest {
    private static final long STEP_MILLIS = 20;
    private static final long REPORT_MILLIS = 180;
    private static final long KEY_LEASE_MILLIS = 3_600;
    /** Documented time within which a configuration must be active, in milliseconds. */
    private static final long CONVERGE_MILLIS = 2_000;
    /** Time in which a request to the store ends without a response, in milliseconds. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 600;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeClocks clocks = new FakeClocks(1_000_000);
    private final StoreContents storeContents = new StoreContents();
    private TestDaemon relay;
    private TestDaemon follower;
    private boolean relaySilent;
    private boolean largeFleet;
    /** Documented time for which a draining upstream serves on, in milliseconds. */
    private long drainMillis = 2_000;

    private long stampMillis;
    private boolean watchesFail;

    private final class TestDaemon {
        private final FakeStore store = new FakeStore();
        private final ActiveConfig activeConfig = new ActiveConfig(KEY_LEASE_MILLIS);
        private final UpstreamRegistry registry = new UpstreamRegistry(1_200);
        private final StoreHistory history = new StoreHistory();
        private final RegistryWatch upstreams;
        private final ConfigWatch config;
        private final CachedStoreViewExchange storeViews;
        private int changes;
        private boolean failChanges;

        private TestDaemon() {
            this(Optional.empty());
        }

        private TestDaemon(Optional<Listing<UpstreamEntry>> oldListing) {
            store.oldListing = oldListing;
            store.onEra = this::onEra;
            PresentHistoryStore present = new PresentHistoryStore(store, history, channel.eventLoop());
            EventLog log = new EventLog(clocks);
            config =
                    new ConfigWatch(channel.eventLoop(), clocks, present, activeConfig, CONVERGE_MILLIS, log, () -> {});
            upstreams = new RegistryWatch(
                    channel.eventLoop(),
                    clocks,
                    present,
                    registry,
                    drainMillis,
                    log,
                    this::onChange,
                    () -> false,
                    () -> largeFleet,
                    new SplittableRandom(1));
            EvacuationWatch noEvacuations = new EvacuationWatch(
                    channel.eventLoop(),
                    clocks,
                    present,
                    new Evacuations(),
                    OptionalLong.empty(),
                    () -> false,
                    log,
                    () -> {});
            storeViews =
                    new CachedStoreViewExchange(clocks, activeConfig, config, upstreams, noEvacuations, history, log);
            config.start();
            upstreams.start();
        }

        private void onChange() {
            changes++;
            if (failChanges) {
                failChanges = false;
                throw new IllegalStateException("failure of the test");
            }
        }

        private void onEra(long era) {
            if (history.record(era)) {
                upstreams.onStoreRestored();
                config.onStoreRestored();
            }
        }

        private Optional<UpstreamEntry> entry(String name) {
            return registry.entries().stream()
                    .filter(entry -> entry.id().value().equals(name))
                    .findFirst();
        }

        private long version() {
            return activeConfig.table().map(table -> table.config().version()).orElse(0L);
        }
    }

    @BeforeEach
    void startTwo() {
        channel.freezeTime();
        storeContents.configure(7);
        for (int i = 0; i < 40; i++) {
            storeContents.put("i-" + i, MemberState.READY);
        }
        relay = new TestDaemon();
        follower = new TestDaemon();
        run(3_000);
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clocks.now += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            if (clocks.now % REPORT_MILLIS < STEP_MILLIS) {
                if (!relaySilent) {
                    follower.storeViews.apply(relay.storeViews.view(), stampMillis);
                }
                stampMillis = clocks.now;
            }
        }
    }

    @Test
    void relayReportsReplaceStoreCalls() {
        int before = follower.store.calls;
        run(20_000);

        assertThat(follower.store.calls).isEqualTo(before);
        assertThat(relay.store.calls).isGreaterThan(20);
        assertThat(follower.activeConfig.ageMillis(clocks.now)).isLessThan(CONVERGE_MILLIS);
    }

    @Test
    void appliesRegistryChangesFromRelay() {
        int before = follower.store.calls;
        for (int i = 0; i < 30; i++) {
            storeContents.put("i-" + i, MemberState.OPEN);
            if (i % 10 == 0) {
                storeContents.remove("i-" + (30 + i / 10));
            }
            run(100);
        }
        run(1_000);

        assertThat(follower.store.calls).isEqualTo(before);
        assertThat(follower.registry.entries()).containsExactlyInAnyOrderElementsOf(storeContents.upstreams.values());
    }

    /** Guards against a gap: more changes at once than a report holds, or lost reports. */
    @Test
    void queriesStoreAfterMissedChanges() {
        for (int i = 0; i < 40; i++) {
            storeContents.put("i-" + i, MemberState.BROKEN);
        }
        run(2_000);
        assertThat(follower.registry.entries()).containsExactlyInAnyOrderElementsOf(storeContents.upstreams.values());

        relaySilent = true;
        run(400);
        storeContents.remove("i-3");
        run(1_500);
        assertThat(follower.registry.entries()).hasSize(39);
    }

    @Test
    void activatesConfigurationInTime() {
        storeContents.configure(9);
        run(CONVERGE_MILLIS - REPORT_MILLIS);

        assertThat(follower.version()).isEqualTo(9);
    }

    /**
     * Guards against a configuration age of up to two watch waits although an empty response confirmed a later time.
     */
    @Test
    void emptyWatchResponseConfirmsWait() {
        long oldest = 0;
        for (int i = 0; i < 200; i++) {
            run(STEP_MILLIS);
            oldest = Math.max(oldest, relay.activeConfig.ageMillis(clocks.now));
        }

        assertThat(oldest).isLessThan(CONVERGE_MILLIS / 2);
    }

    /** Guards against a daemon that starts with a registry listing that is a few seconds old. */
    @Test
    void appliesChangesSinceOldListingFirst() {
        TestDaemon lateDaemon = new TestDaemon(storeContents.listing());
        storeContents.remove("i-3");
        assertThat(lateDaemon.registry.answeredAtMillis()).isEqualTo(Long.MIN_VALUE);
        run(2 * STEP_MILLIS);

        assertThat(lateDaemon.registry.answeredAtMillis()).isGreaterThan(0);
        assertThat(lateDaemon.registry.entries()).containsExactlyInAnyOrderElementsOf(storeContents.upstreams.values());
    }

    /** Guards against a leaving that lies between the copy and the revision that a daemon watches from. */
    @Test
    void readsChangesWhoseRevisionsRestoredStoreAssignsAgain() {
        restoreBehindWatches(() -> storeContents.leave("i-3"));
        run(1_000);

        for (TestDaemon daemon : List.of(relay, follower)) {
            assertThat(daemon.entry("i-3"))
                    .hasValueSatisfying(entry -> assertThat(entry.leaving()).isTrue());
            assertThat(daemon.upstreams.revision()).isEqualTo(storeContents.revision);
        }
    }

    @Test
    void listsAgainAfterStaleListingOfOlderHistory() {
        largeFleet = true;
        relay.store.oldListing = storeContents.listing();
        restoreBehindWatches(() -> storeContents.leave("i-3"));
        run(1_500);

        assertThat(relay.entry("i-3"))
                .hasValueSatisfying(entry -> assertThat(entry.leaving()).isTrue());
        assertThat(relay.upstreams.revision()).isEqualTo(storeContents.revision);
    }

    /** Guards against a follower that depends on its own contact with the store to learn of a restore. */
    @Test
    void relayTellsRestore() {
        storeContents.restore(storeContents.listing().orElseThrow());
        run(1_800);
        int before = follower.store.calls;
        run(10_000);

        assertThat(follower.upstreams.revision()).isEqualTo(storeContents.revision);
        assertThat(follower.store.calls).isEqualTo(before);
    }

    @Test
    void relayOfOlderHistoryConfirmsNothing() {
        relaySilent = true;
        StoreView older = relay.storeViews.view();
        restoreBehindWatches(() -> {});
        run(3_000);
        follower.store.down = true;
        run(500);
        StoreRevision known = follower.upstreams.revision();
        long answeredAtMillis = follower.registry.answeredAtMillis();
        follower.storeViews.apply(older, clocks.now);

        assertThat(follower.upstreams.revision()).isEqualTo(known);
        assertThat(known.era()).isEqualTo(1);
        assertThat(follower.registry.answeredAtMillis()).isEqualTo(answeredAtMillis);
    }

    /** Guards against a wrong era that makes every later answer of the store look old. */
    @Test
    void wrongEraOfDaemonChangesNothing() {
        StoreView wrong = relay.storeViews.view().toBuilder().setStoreEra(9).build();
        follower.storeViews.apply(wrong, clocks.now);
        relaySilent = true;
        run(1_500);
        storeContents.put("i-10", MemberState.OPEN);
        run(1_500);

        assertThat(follower.registry.entries()).containsExactlyInAnyOrderElementsOf(storeContents.upstreams.values());
    }

    /** Guards against a revision that is told with an age which no current answer has given it. */
    @Test
    void tellsNoRevisionOfOldListing() {
        watchesFail = true;
        TestDaemon started = new TestDaemon();
        run(1_000);

        assertThat(started.upstreams.listed()).isTrue();
        assertThat(started.storeViews.view().getRegistryRevision()).isZero();
    }

    /** Guards against changes that are skipped for good after one of them could not be applied. */
    @Test
    void readsBatchAgainAfterFailure() {
        relay.changes = 0;
        relay.failChanges = true;
        storeContents.put("i-10", MemberState.OPEN);
        run(1_500);

        assertThat(relay.changes).isEqualTo(2);
    }

    /** Guards against orders on the ground of a registry that was read before the restore. */
    @Test
    void restoreEndsConfirmationUntilStoreAnswers() {
        long before = clocks.now - 2_000;
        assertThat(relay.upstreams.confirmedSince(before)).isTrue();
        relay.store.down = true;
        relay.onEra(1);
        run(1_000);

        assertThat(relay.upstreams.confirmedSince(before)).isFalse();
        assertThat(relay.storeViews.view().getRegistryRevision()).isZero();
        assertThat(relay.storeViews.view().getStoreEra()).isEqualTo(1);
        assertThat(relay.registry.entries()).hasSize(40);
    }

    /** The revisions of the new history pass those of the older one before any daemon has seen the restore. */
    private void restoreBehindWatches(Runnable firstChange) {
        Listing<UpstreamEntry> copy = storeContents.listing().orElseThrow();
        for (int i = 0; i < 5; i++) {
            storeContents.put("i-" + (10 + i), MemberState.OPEN);
        }
        run(1_000);
        storeContents.restore(copy);
        firstChange.run();
        for (int i = 0; i < 10; i++) {
            storeContents.put("i-" + (10 + i), MemberState.OPEN);
        }
    }

    /** Guards against a key lease that outlives the relay's own contact with the store. */
    @Test
    void keyLeaseExpiresWhenRelayLosesStore() {
        relay.store.down = true;
        follower.store.down = true;
        run(KEY_LEASE_MILLIS + 200);

        assertThat(follower.activeConfig.fresh(clocks.now)).isFalse();
    }

    /** Guards against daemons that depend on a relay that the store rejects. */
    @Test
    void queriesStoreWhenRelayLosesIt() {
        relay.store.down = true;
        run(5_000);
        storeContents.configure(11);
        run(CONVERGE_MILLIS - REPORT_MILLIS);

        assertThat(follower.version()).isEqualTo(11);
        assertThat(follower.activeConfig.fresh(clocks.now)).isTrue();
    }

    /**
     * Guards against requests to an upstream that has drained and left: its report does not reach a relay that the store
     * does not answer, and the relay's last view must not count as current until the drain time is over.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void learnsOfDrainInTimeWhileRelayIsCutOff(int rejections) {
        checkDrains(() -> follower.store.rejections = rejections);
    }

    /** Guards against the same if the first query of the store gets no response, with a drain time of 3 s. */
    @Test
    void learnsOfDrainInTimeAfterQueryWithoutResponse() {
        drainMillis = 3_000;
        relay = new TestDaemon();
        follower = new TestDaemon();
        run(3_000);

        checkDrains(() -> follower.store.lostResponses = 1);
    }

    /** Guards against queries without a pause where upstreams drain for less time than a query and its retry take. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, 1_500})
    void queriesStoreWithPausesWhateverTheDrainTime(long millis) {
        drainMillis = millis;
        TestDaemon daemon = new TestDaemon();
        run(1_000);
        int before = daemon.store.calls;
        run(10_000);

        assertThat(daemon.store.calls - before).isLessThan(10_000 / 100);
    }

    /** Guards against many daemons that query a store in an outage at the rate of daemons without relays. */
    @ParameterizedTest
    @ValueSource(longs = {0, 2_000})
    void queriesStoreInOutageAtTheRateOfDaemonsWithRelays(long millis) {
        drainMillis = millis;
        relay = new TestDaemon();
        follower = new TestDaemon();
        run(3_000);
        relay.store.down = true;
        follower.store.down = true;
        int before = follower.store.registryWatches;
        run(6_000);

        assertThat(follower.store.registryWatches - before).isLessThan(6_000 / 500);
    }

    private void checkDrains(Runnable beforeEach) {
        for (int round = 0; round < 30; round++) {
            // Without changes the relay's view is as old as its watch, and the follower asks the store early.
            for (int change = 0; change < 20; change++) {
                storeContents.put("i-39", change % 2 == 0 ? MemberState.OPEN : MemberState.READY);
                run(2 * STEP_MILLIS);
            }
            relay.store.down = true;
            String drained = "i-" + round;
            storeContents.leave(drained);
            beforeEach.run();
            long reportedAtMillis = clocks.now;
            while (!follower.entry(drained).orElseThrow().leaving()) {
                run(STEP_MILLIS);
                assertThat(clocks.now - reportedAtMillis).as("round %s", round).isLessThan(drainMillis);
            }
            relay.store.down = false;
            // Lets each round begin in another phase of watches and reports.
            run(3_000 + round * STEP_MILLIS);
        }
    }

    /** Guards against an age that is counted from the arrival of a response, which the store may have given earlier. */
    @Test
    void tellsAgeSinceRequestOfSlowResponse() {
        relay.store.responseMillis = 400;
        storeContents.put("i-3", MemberState.OPEN);
        while (relay.upstreams.revision().compareTo(storeContents.revision) < 0) {
            run(STEP_MILLIS);
        }

        assertThat(relay.storeViews.view().getRegistryAgeMillis()).isGreaterThanOrEqualTo(400);
    }

    @Test
    void queriesStoreWhenRelayIsSilent() {
        relaySilent = true;
        for (int i = 0; i < 50; i++) {
            run(200);
            assertThat(follower.activeConfig.ageMillis(clocks.now)).isLessThan(KEY_LEASE_MILLIS);
        }
        assertThat(follower.store.calls).isGreaterThan(4);
    }

    /** Guards against a report that is lost because of the size of an entry that another writer left. */
    @Test
    void reportsOtherDataWithoutOversizedChange() {
        storeContents.put("x".repeat(20_000), MemberState.READY);
        int largestBytes = 0;
        for (int i = 0; i < 50; i++) {
            run(STEP_MILLIS);
            largestBytes = Math.max(largestBytes, relay.storeViews.view().getSerializedSize());
        }

        assertThat(relay.registry.entries()).hasSize(41);
        assertThat(largestBytes).isLessThan(8_192);
        assertThat(follower.registry.entries()).containsExactlyInAnyOrderElementsOf(storeContents.upstreams.values());
    }

    /** Guards against an odd change that ends the reading of reports or leaves a gap. */
    @Test
    void queriesStoreInsteadOfUnreadableChange() {
        int before = follower.store.calls;
        relaySilent = true;
        storeContents.remove("i-3");
        run(STEP_MILLIS);
        StoreView.Builder odd = relay.storeViews.view().toBuilder().clearChanges();
        odd.addChanges(UpstreamChange.newBuilder()
                .setName("odd")
                .setRevision(storeContents.revision.number())
                .setUpstream(UpstreamRecord.newBuilder().setHost("engine.example")));
        follower.storeViews.apply(
                odd.setRegistryRevision(storeContents.revision.number()).build(), stampMillis);
        run(1_500);

        assertThat(follower.store.calls).isGreaterThan(before);
        assertThat(follower.registry.entries()).containsExactlyInAnyOrderElementsOf(storeContents.upstreams.values());
    }

    /** Guards against data that counts as newer than it is, by a time that this clock has not reached. */
    @Test
    void ignoresViewFromFuture() {
        StoreView view = relay.storeViews.view();
        relaySilent = true;
        follower.store.down = true;
        run(3_000);
        follower.storeViews.apply(view, clocks.now + 60_000);
        follower.storeViews.apply(
                view.toBuilder()
                        .setConfigAgeMillis(-60_000)
                        .setRegistryAgeMillis(-60_000)
                        .build(),
                clocks.now);

        assertThat(follower.activeConfig.ageMillis(clocks.now)).isGreaterThanOrEqualTo(3_000);
        assertThat(follower.registry.answeredAtMillis()).isLessThanOrEqualTo(clocks.now - 2_500);
    }

    /** Guards against counting the age from the arrival of a report, which may have been delayed. */
    @Test
    void countsAgeFromBeforeRelaySent() {
        StoreView view = relay.storeViews.view();
        long sentAtMillis = clocks.now;
        long age = relay.activeConfig.ageMillis(sentAtMillis);
        relaySilent = true;
        follower.store.down = true;
        run(3_000);
        follower.storeViews.apply(view, sentAtMillis - 100);

        assertThat(follower.activeConfig.ageMillis(clocks.now)).isGreaterThanOrEqualTo(3_000);
        assertThat(follower.activeConfig.ageMillis(clocks.now)).isLessThanOrEqualTo(3_000 + age + 100);
    }

    private static final class StoreContents {
        private final Map<String, UpstreamEntry> upstreams = new LinkedHashMap<>();
        private final List<StoredObject<UpstreamEntry>> puts = new ArrayList<>();
        private final List<StoreRevision> deletions = new ArrayList<>();
        private StoreRevision revision = new StoreRevision(0, 1);

        private StoredObject<ServingConfig> config;

        private Optional<Listing<UpstreamEntry>> listing() {
            List<StoredObject<UpstreamEntry>> objects = new ArrayList<>();
            upstreams.forEach((name, entry) ->
                    objects.add(new StoredObject<>(name, new StoreRevision(revision.era(), 1), Optional.of(entry))));
            return Optional.of(new Listing<>(objects, revision));
        }

        private void advance() {
            revision = new StoreRevision(revision.era(), revision.number() + 1);
        }

        private void configure(long version) {
            advance();
            ServingConfig content = new ServingConfig(version, List.of(), Map.of(), CallLimits.DEFAULT, true, Map.of());
            config = new StoredObject<>("main", revision, Optional.of(content));
        }

        private void put(String name, MemberState state) {
            advance();
            UpstreamEntry entry = new UpstreamEntry(
                    new InstanceId(name),
                    1,
                    0,
                    new ServiceName("pool"),
                    new Endpoint("127.0.0.1", 80),
                    new FailureDomain("a"),
                    18,
                    false,
                    "d",
                    List.of("big"),
                    List.of("big"),
                    Optional.of(new Membership(ReplicaKey.of("big", 4), 1, state)));
            upstreams.put(name, entry);
            puts.add(new StoredObject<>(name, revision, Optional.of(entry)));
        }

        private void leave(String name) {
            advance();
            UpstreamEntry entry = upstreams.get(name).asLeaving();
            upstreams.put(name, entry);
            puts.add(new StoredObject<>(name, revision, Optional.of(entry)));
        }

        /** Restores the contents of a listing, from which the revisions continue in the next era. */
        private void restore(Listing<UpstreamEntry> copy) {
            revision = new StoreRevision(revision.era() + 1, copy.revision().number());
            upstreams.clear();
            copy.objects()
                    .forEach(object ->
                            upstreams.put(object.name(), object.content().orElseThrow()));
            puts.clear();
            deletions.clear();
            config = new StoredObject<>(config.name(), new StoreRevision(revision.era(), 1), config.content());
        }

        private void remove(String name) {
            advance();
            puts.add(new StoredObject<>(name, revision, Optional.of(upstreams.remove(name))));
            deletions.add(revision);
        }
    }

    private final class FakeStore implements ObjectStore {
        private Optional<Listing<UpstreamEntry>> oldListing = Optional.empty();
        private int calls;
        private int registryWatches;
        private LongConsumer onEra = era -> {};
        private boolean down;
        private int rejections;
        private int lostResponses;
        private long responseMillis;

        @Override
        @SuppressWarnings("unchecked")
        public <T> void list(ObjectKind<T> kind, boolean mayBeOld, Consumer<StoreResult<Listing<T>>> done) {
            calls++;
            if (down) {
                done.accept(new StoreResult.NoResponse<>("down"));
                return;
            }
            onEra.accept(storeContents.revision.era());
            List<StoredObject<T>> objects = new ArrayList<>();
            if (kind instanceof ObjectKind.Configuration) {
                objects.add((StoredObject<T>) storeContents.config);
            } else {
                Optional<Listing<UpstreamEntry>> chosen =
                        mayBeOld ? oldListing.or(storeContents::listing) : storeContents.listing();
                done.accept(new StoreResult.Ok<>((Listing<T>) chosen.orElseThrow()));
                return;
            }
            done.accept(new StoreResult.Ok<>(new Listing<>(objects, storeContents.revision)));
        }

        @Override
        public <T> void watch(
                ObjectKind<T> kind, StoreRevision from, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done) {
            calls++;
            registryWatches += kind instanceof ObjectKind.Upstreams ? 1 : 0;
            if (rejections > 0 && kind instanceof ObjectKind.Upstreams) {
                rejections--;
                done.accept(new StoreResult.NoResponse<>("rejected"));
                return;
            }
            if (lostResponses > 0 && kind instanceof ObjectKind.Upstreams) {
                lostResponses--;
                Runnable timeout = () -> done.accept(new StoreResult.NoResponse<>("timeout"));
                channel.eventLoop().schedule(timeout, waitMillis + RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            answerWatch(kind, from, clocks.now + waitMillis, done);
        }

        @SuppressWarnings("unchecked")
        private <T> void answerWatch(
                ObjectKind<T> kind, StoreRevision from, long until, Consumer<StoreResult<ChangeBatch<T>>> done) {
            if (down || watchesFail) {
                channel.eventLoop()
                        .schedule(() -> done.accept(new StoreResult.NoResponse<>("down")), 50, TimeUnit.MILLISECONDS);
                return;
            }
            if (from.number() > storeContents.revision.number()) {
                onEra.accept(storeContents.revision.era());
                done.accept(new StoreResult.HistoryExpired<>());
                return;
            }
            List<ChangeBatch.Change<T>> changes = new ArrayList<>();
            if (kind instanceof ObjectKind.Configuration) {
                if (storeContents.config.revision().number() > from.number()) {
                    changes.add(new ChangeBatch.Change<>((StoredObject<T>) storeContents.config, false));
                }
            } else {
                storeContents.puts.stream()
                        .filter(put -> put.revision().number() > from.number())
                        .forEach(put -> changes.add(new ChangeBatch.Change<>(
                                (StoredObject<T>) put, storeContents.deletions.contains(put.revision()))));
            }
            if (!changes.isEmpty() || clocks.now >= until) {
                onEra.accept(storeContents.revision.era());
                StoreResult<ChangeBatch<T>> answer =
                        new StoreResult.Ok<>(new ChangeBatch<>(changes, storeContents.revision));
                if (responseMillis > 0) {
                    channel.eventLoop().schedule(() -> done.accept(answer), responseMillis, TimeUnit.MILLISECONDS);
                    return;
                }
                done.accept(answer);
                return;
            }
            channel.eventLoop()
                    .schedule(() -> answerWatch(kind, from, until, done), STEP_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public <T> void write(
                ObjectKind<T> kind,
                String name,
                Optional<StoreRevision> expected,
                T content,
                Consumer<StoreResult<StoredObject<T>>> done) {
            throw new UnsupportedOperationException("write is not supported");
        }
    }
}
