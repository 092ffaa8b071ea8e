package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.sesamehead.coordination.catalog.CallLimits;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.replica.MemberState;
import io.sesamehead.coordination.replica.Membership;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.entry.protocol.generated.StoreView;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against daemons that all ask the store, and against knowledge from a relay that is older than it looks. */
final class CachedStoreViewExchangeTest {
    private static final long STEP_MILLIS = 20;
    private static final long REPORT_MILLIS = 180;
    private static final long KEY_LEASE_MILLIS = 3_600;
    /** Time within which a configuration must be in force, from the users' pages. */
    private static final long CONVERGE_MILLIS = 2_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeClocks clocks = new FakeClocks(1_000_000);
    private final World world = new World();
    private Node relay;
    private Node leaf;
    private boolean relaySilent;
    private long stamp;

    private final class Node {
        private final StoreAccess store = new StoreAccess();
        private final ActiveConfig gate = new ActiveConfig(KEY_LEASE_MILLIS);
        private final UpstreamRegistry registry = new UpstreamRegistry();
        private final CachedStoreViewExchange sharing;

        private Node() {
            this(Optional.empty());
        }

        private Node(Optional<Listing<UpstreamEntry>> oldList) {
            store.oldList = oldList;
            EventLog log = new EventLog(clocks);
            ConfigWatch config =
                    new ConfigWatch(channel.eventLoop(), clocks, store, gate, CONVERGE_MILLIS, log, () -> {});
            RegistryWatch upstreams =
                    new RegistryWatch(channel.eventLoop(), clocks, store, registry, log, () -> {}, () -> false);
            sharing = new CachedStoreViewExchange(clocks, gate, registry, config, upstreams, log);
            config.start();
            upstreams.start();
        }

        private long version() {
            return gate.table().map(table -> table.config().version()).orElse(0L);
        }
    }

    @BeforeEach
    void startTwo() {
        channel.freezeTime();
        world.configure(7);
        for (int i = 0; i < 40; i++) {
            world.put("i-" + i, MemberState.READY);
        }
        relay = new Node();
        leaf = new Node();
        run(3_000);
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            clocks.now += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            if (clocks.now % REPORT_MILLIS < STEP_MILLIS) {
                if (!relaySilent) {
                    leaf.sharing.apply(relay.sharing.view(), stamp);
                }
                stamp = clocks.now;
            }
        }
    }

    @Test
    void daemonThatHearsARelayLeavesTheStoreAlone() {
        int before = leaf.store.calls;
        run(20_000);

        assertThat(leaf.store.calls).isEqualTo(before);
        assertThat(relay.store.calls).isGreaterThan(20);
        assertThat(leaf.gate.ageMillis(clocks.now)).isLessThan(CONVERGE_MILLIS);
    }

    @Test
    void changesOfTheRegistryComeFromTheRelay() {
        int before = leaf.store.calls;
        for (int i = 0; i < 30; i++) {
            world.put("i-" + i, MemberState.OPEN);
            if (i % 10 == 0) {
                world.remove("i-" + (30 + i / 10));
            }
            run(100);
        }
        run(1_000);

        assertThat(leaf.store.calls).isEqualTo(before);
        assertThat(leaf.registry.entries()).containsExactlyInAnyOrderElementsOf(world.upstreams.values());
    }

    /** Guards against a gap: more changes at once than a report holds, or reports that were lost. */
    @Test
    void daemonThatMissedChangesAsksTheStore() {
        for (int i = 0; i < 40; i++) {
            world.put("i-" + i, MemberState.BROKEN);
        }
        run(2_000);
        assertThat(leaf.registry.entries()).containsExactlyInAnyOrderElementsOf(world.upstreams.values());

        relaySilent = true;
        run(400);
        world.remove("i-3");
        run(1_500);
        assertThat(leaf.registry.entries()).hasSize(39);
    }

    @Test
    void newConfigurationIsInForceWithinItsBound() {
        world.configure(9);
        run(CONVERGE_MILLIS - REPORT_MILLIS);

        assertThat(leaf.version()).isEqualTo(9);
    }

    /** Guards against two waits of a watch as the age of what an empty answer has proved. */
    @Test
    void answerAfterTheFullWaitProvesThatNothingHasChanged() {
        long oldest = 0;
        for (int i = 0; i < 200; i++) {
            run(STEP_MILLIS);
            oldest = Math.max(oldest, relay.gate.ageMillis(clocks.now));
        }

        assertThat(oldest).isLessThan(CONVERGE_MILLIS / 2);
    }

    /** Guards against a start with a list of the registry that is some seconds old. */
    @Test
    void changesSinceAnOldListAreKnownBeforeTheRegistryCountsAsRead() {
        Node late = new Node(world.listing());
        world.remove("i-3");
        assertThat(late.registry.answeredAtMillis()).isEqualTo(Long.MIN_VALUE);
        run(2 * STEP_MILLIS);

        assertThat(late.registry.answeredAtMillis()).isGreaterThan(0);
        assertThat(late.registry.entries()).containsExactlyInAnyOrderElementsOf(world.upstreams.values());
    }

    /** Guards against a lease on keys that outlives the relay's own contact with the store. */
    @Test
    void knowledgeAgesWhenTheRelayLosesTheStore() {
        relay.store.down = true;
        leaf.store.down = true;
        run(KEY_LEASE_MILLIS + 200);

        assertThat(leaf.gate.fresh(clocks.now)).isFalse();
    }

    /** Guards against daemons that depend on a relay that the store turns away. */
    @Test
    void daemonAsksTheStoreItselfWhenTheRelayHasLostIt() {
        relay.store.down = true;
        run(5_000);
        world.configure(11);
        run(CONVERGE_MILLIS - REPORT_MILLIS);

        assertThat(leaf.version()).isEqualTo(11);
        assertThat(leaf.gate.fresh(clocks.now)).isTrue();
    }

    @Test
    void silentRelayIsReplacedByTheStoreBeforeTheKeysLapse() {
        relaySilent = true;
        for (int i = 0; i < 50; i++) {
            run(200);
            assertThat(leaf.gate.ageMillis(clocks.now)).isLessThan(KEY_LEASE_MILLIS);
        }
        assertThat(leaf.store.calls).isGreaterThan(4);
    }

    /** Guards against counting the age from the arrival: a report can be held up on its way. */
    @Test
    void ageCountsFromAMomentBeforeTheRelaySpoke() {
        StoreView view = relay.sharing.view();
        long spoken = clocks.now;
        long age = relay.gate.ageMillis(spoken);
        relaySilent = true;
        leaf.store.down = true;
        run(3_000);
        leaf.sharing.apply(view, spoken - 100);

        assertThat(leaf.gate.ageMillis(clocks.now)).isGreaterThanOrEqualTo(3_000);
        assertThat(leaf.gate.ageMillis(clocks.now)).isLessThanOrEqualTo(3_000 + age + 100);
    }

    private static final class World {
        private final Map<String, UpstreamEntry> upstreams = new LinkedHashMap<>();
        private final List<StoredObject<UpstreamEntry>> puts = new ArrayList<>();
        private final List<Long> deletions = new ArrayList<>();
        private long revision = 1;
        private StoredObject<ServingConfig> config;

        private Optional<Listing<UpstreamEntry>> listing() {
            List<StoredObject<UpstreamEntry>> objects = new ArrayList<>();
            upstreams.forEach((name, entry) -> objects.add(new StoredObject<>(name, 1, Optional.of(entry))));
            return Optional.of(new Listing<>(objects, revision));
        }

        private void configure(long version) {
            revision++;
            ServingConfig content = new ServingConfig(version, List.of(), Map.of(), CallLimits.DEFAULT, true, Map.of());
            config = new StoredObject<>("main", revision, Optional.of(content));
        }

        private void put(String name, MemberState state) {
            revision++;
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

        private void remove(String name) {
            revision++;
            puts.add(new StoredObject<>(name, revision, Optional.of(upstreams.remove(name))));
            deletions.add(revision);
        }
    }

    private final class StoreAccess implements ObjectStore {
        private Optional<Listing<UpstreamEntry>> oldList = Optional.empty();
        private int calls;
        private boolean down;

        @Override
        @SuppressWarnings("unchecked")
        public <T> void list(ObjectKind<T> kind, boolean mayBeOld, Consumer<StoreResult<Listing<T>>> done) {
            calls++;
            if (down) {
                done.accept(new StoreResult.NoResponse<>("down"));
                return;
            }
            List<StoredObject<T>> objects = new ArrayList<>();
            if (kind instanceof ObjectKind.Configuration) {
                objects.add((StoredObject<T>) world.config);
            } else {
                Optional<Listing<UpstreamEntry>> chosen = mayBeOld ? oldList.or(world::listing) : world.listing();
                done.accept(new StoreResult.Ok<>((Listing<T>) chosen.orElseThrow()));
                return;
            }
            done.accept(new StoreResult.Ok<>(new Listing<>(objects, world.revision)));
        }

        @Override
        public <T> void watch(ObjectKind<T> kind, long from, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done) {
            calls++;
            answerWatch(kind, from, clocks.now + waitMillis, done);
        }

        @SuppressWarnings("unchecked")
        private <T> void answerWatch(
                ObjectKind<T> kind, long from, long until, Consumer<StoreResult<ChangeBatch<T>>> done) {
            if (down) {
                channel.eventLoop()
                        .schedule(() -> done.accept(new StoreResult.NoResponse<>("down")), 50, TimeUnit.MILLISECONDS);
                return;
            }
            List<ChangeBatch.Change<T>> changes = new ArrayList<>();
            if (kind instanceof ObjectKind.Configuration) {
                if (world.config.revision() > from) {
                    changes.add(new ChangeBatch.Change<>((StoredObject<T>) world.config, false));
                }
            } else {
                world.puts.stream()
                        .filter(put -> put.revision() > from)
                        .forEach(put -> changes.add(
                                new ChangeBatch.Change<>((StoredObject<T>) put, world.deletions.contains(put.revision()))));
            }
            if (!changes.isEmpty() || clocks.now >= until) {
                done.accept(new StoreResult.Ok<>(new ChangeBatch<>(changes, world.revision)));
                return;
            }
            channel.eventLoop()
                    .schedule(() -> answerWatch(kind, from, until, done), STEP_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public <T> void write(
                ObjectKind<T> kind,
                String name,
                OptionalLong expected,
                T content,
                Consumer<StoreResult<StoredObject<T>>> done) {
            throw new UnsupportedOperationException("nothing is written here");
        }
    }
}
