package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.PromptPartCrashes;
import io.sesamehead.coordination.dispatch.RateLimitShares;
import io.sesamehead.coordination.dispatch.RefusedConnections;
import io.sesamehead.coordination.dispatch.StatedRateLimits;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.coordination.lease.LeaseSettings;
import io.sesamehead.coordination.membership.ReportTopology;
import io.sesamehead.coordination.replica.LeavingUpstreams;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.DaemonEndpoint;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.entry.protocol.generated.StoreView;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.StoreRevision;
import java.net.DatagramSocket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against daemons of a large deployment that miss part of the others' load or count it twice. */
final class PeerReporterTest {
    private static final int DAEMONS = 45;
    private static final int MESH_DAEMONS = 5;
    private static final int DOMAINS = 3;
    private static final TargetKey GROUP = TargetKey.of(ReplicaKey.of("big", 7));
    private static final TargetKey LOST_GROUP = TargetKey.of(ReplicaKey.of("big", 8));
    /** Report interval with relays, in milliseconds. */
    private static final long REPORT_MILLIS = 180;
    /** Silence after which a group is suspected also with relays, in milliseconds. */
    private static final long SILENCE_MILLIS = 1_000;
    /** Several times the two intervals of a report and its sum, in milliseconds. */
    private static final long CONVERGENCE_TIMEOUT_MILLIS = 3_000;

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Clocks clocks = new SystemClocks();
    private final FakeStore store = new FakeStore();
    private final List<Daemon> daemons = new ArrayList<>();

    private record Daemon(
            TargetTable table,
            ReportTopology topology,
            RefusedConnections refused,
            LeaseTask lease,
            RecordingExchange storeViews,
            UpstreamRegistry registry,
            PeerReporter reporter) {}

    private void startAll(int count) throws Exception {
        List<Integer> ports = freePorts();
        for (int i = 0; i < count; i++) {
            daemons.add(daemon(i, ports.get(i)));
        }
        for (Daemon daemon : daemons) {
            daemon.reporter().start();
            onLoop(() -> {
                daemon.table().recordSent(GROUP, clocks.steadyMillis());
                return null;
            });
        }
    }

    @AfterEach
    void stopAll() throws Exception {
        for (Daemon daemon : daemons) {
            onLoop(() -> {
                daemon.reporter().stop();
                daemon.lease().stop(0);
                return null;
            });
        }
    }

    private static List<Integer> freePorts() throws SocketException {
        List<DatagramSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            DatagramSocket socket = new DatagramSocket(0);
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        sockets.forEach(DatagramSocket::close);
        return ports;
    }

    private Daemon daemon(int number, int port) {
        DaemonId id = new DaemonId("daemon-" + number);
        FailureDomain domain = new FailureDomain("zone-" + number % DOMAINS);
        Endpoint endpoint = new Endpoint("127.0.0.1", port);
        store.daemons.put(id.value(), new DaemonEndpoint(endpoint, domain));
        EntrySettings settings = new EntrySettings(
                id.value(),
                domain,
                endpoint,
                endpoint,
                Optional.empty(),
                endpoint,
                1,
                1,
                1,
                1,
                1,
                1,
                true,
                0,
                0,
                1,
                1_200);
        EventLog log = new EventLog(clocks);
        TargetTable table = new TargetTable();
        ReportTopology topology = new ReportTopology(id, domain);
        PeerDirectory directory = new PeerDirectory(loop, clocks, settings, store, topology, log);
        LeaseHolder holder = new LeaseHolder(id, new Incarnation(number + 1), new LeaseSettings(1_500, 100, 300));
        LeaseTask lease = new LeaseTask(
                loop, clocks, store, holder, List::of, 1_500, () -> false, log, new SplittableRandom(number));
        RecordingExchange storeViews = new RecordingExchange();
        UpstreamRegistry registry = new UpstreamRegistry(1_200);
        CrashHistory crashes = new CrashHistory();
        RefusedConnections refused = new RefusedConnections(id);
        StatedRateLimits rateLimits = new StatedRateLimits();
        RateLimitShares rateLimitShares = new RateLimitShares(rateLimits, new SplittableRandom(number));
        PeerReporter reporter = new PeerReporter(
                loop,
                clocks,
                settings,
                number + 1,
                directory,
                topology,
                table,
                new CrashExchange(clocks, crashes, new PromptPartCrashes(crashes, id), log),
                refused,
                new RateLimitRecorder(clocks, rateLimits, rateLimitShares, log),
                List.of(),
                new LeavingRecorder(clocks, registry, log, () -> {}),
                new ModelLoads(),
                lease,
                storeViews,
                log);
        return new Daemon(table, topology, refused, lease, storeViews, registry, reporter);
    }

    private <T> T onLoop(Callable<T> task) throws ExecutionException, InterruptedException {
        return loop.submit(task).get();
    }

    private List<Integer> inFlight() throws ExecutionException, InterruptedException {
        return onLoop(() ->
                daemons.stream().map(daemon -> daemon.table().inFlight(GROUP)).toList());
    }

    /** As in a daemon, tables discard outdated reports on each check for stalled targets. */
    private void await(Callable<Boolean> condition) throws Exception {
        long end = clocks.steadyMillis() + CONVERGENCE_TIMEOUT_MILLIS;
        while (clocks.steadyMillis() < end) {
            boolean met = onLoop(() -> {
                daemons.forEach(daemon -> daemon.table().recordProgress(GROUP, clocks.steadyMillis()));
                daemons.forEach(daemon -> daemon.table().findStalled(clocks.steadyMillis()));
                return condition.call();
            });
            if (met) {
                return;
            }
            Thread.sleep(20);
        }
    }

    private boolean allCount(int calls) {
        return daemons.stream().allMatch(daemon -> daemon.table().inFlight(GROUP) == calls);
    }

    @Test
    void countsEachCallOnce() throws Exception {
        startAll(DAEMONS);
        await(() -> allCount(DAEMONS));

        assertThat(inFlight()).containsOnly(DAEMONS);
        assertThat(onLoop(() -> daemons.stream()
                        .map(daemon -> daemon.table().peerCount())
                        .toList()))
                .containsOnly(DAEMONS - 1);
    }

    @Test
    void recoversFromRelayLoss() throws Exception {
        startAll(DAEMONS);
        await(() -> allCount(DAEMONS));
        Daemon relay = onLoop(() -> daemons.stream()
                .filter(daemon ->
                        !daemon.topology().reporters(clocks.steadyMillis()).isEmpty())
                .findFirst()
                .orElseThrow());
        onLoop(() -> {
            relay.reporter().stop();
            return daemons.remove(relay);
        });
        await(() -> allCount(DAEMONS - 1));

        assertThat(inFlight()).containsOnly(DAEMONS - 1);
    }

    /**
     * Guards against a suspicion that is delayed until the next report of the daemon and the next sums of its relay.
     */
    @Test
    void reportsSuspicionImmediately() throws Exception {
        startAll(DAEMONS);
        await(() -> allCount(DAEMONS));
        Daemon first = daemons.get(0);
        Thread.sleep(SILENCE_MILLIS);
        onLoop(() -> {
            assertThat(first.table().findStalled(clocks.steadyMillis())).containsExactly(GROUP);
            first.reporter().reportStalled(GROUP);
            return null;
        });
        long end = clocks.steadyMillis() + REPORT_MILLIS;
        boolean suspectedByAll = false;
        while (!suspectedByAll && clocks.steadyMillis() < end) {
            Thread.sleep(10);
            suspectedByAll = onLoop(() ->
                    daemons.stream().allMatch(daemon -> daemon.table().isSuspected(GROUP, clocks.steadyMillis())));
        }
        assertThat(suspectedByAll).isTrue();
    }

    /**
     * Guards against daemons that keep sending calls to a leaving upstream because only one received its announcement.
     */
    @Test
    void reportsLeavingUpstreamToAll() throws Exception {
        startAll(DAEMONS);
        await(() -> allCount(DAEMONS));
        LeavingUpstreams.UpstreamIncarnation incarnation =
                new LeavingUpstreams.UpstreamIncarnation(new InstanceId("i-1"), 5);
        onLoop(() -> daemons.get(0).registry().recordLeaving(incarnation, clocks.steadyMillis()));
        await(() -> daemons.stream()
                .allMatch(daemon -> daemon.registry()
                        .leaving()
                        .toAnnounce(clocks.steadyMillis())
                        .contains(incarnation)));

        assertThat(onLoop(() -> daemons.stream()
                        .filter(daemon -> !daemon.registry()
                                .leaving()
                                .toAnnounce(clocks.steadyMillis())
                                .contains(incarnation))
                        .count()))
                .isZero();
    }

    /** Returns the daemons that find the lost group when the first ones have been refused, after some reports. */
    private long daemonsThatFindLoss(int refusedDaemons) throws Exception {
        for (int round = 0; round < 10; round++) {
            boolean refuse = round == 0;
            onLoop(() -> {
                long now = clocks.steadyMillis();
                if (refuse) {
                    daemons.stream()
                            .limit(refusedDaemons)
                            .forEach(daemon -> daemon.refused().recordRefused(LOST_GROUP, now));
                }
                daemons.forEach(daemon -> daemon.table().recordProgress(GROUP, now + 1));
                return null;
            });
            Thread.sleep(REPORT_MILLIS / 2);
        }
        return onLoop(() -> daemons.stream()
                .filter(daemon -> daemon.refused().isLost(LOST_GROUP, false, clocks.steadyMillis()))
                .count());
    }

    /** Guards against refused connections that the lease holder does not learn of, in a mesh and through relays. */
    @ParameterizedTest
    @ValueSource(ints = {MESH_DAEMONS, DAEMONS})
    void reportsRefusedConnectionsToAll(int count) throws Exception {
        startAll(count);
        await(() -> allCount(count));

        assertThat(daemonsThatFindLoss(2)).isEqualTo(count);
    }

    /** Guards against a single daemon whose refusal is counted again by each relay. */
    @ParameterizedTest
    @ValueSource(ints = {MESH_DAEMONS, DAEMONS})
    void refusalOfOneDaemonCountsOnce(int count) throws Exception {
        startAll(count);
        await(() -> allCount(count));

        assertThat(daemonsThatFindLoss(1)).isZero();
    }

    /** Guards against daemons that each query the store for the lease while the holder is alive. */
    @Test
    void relaysForwardLeaseHolder() throws Exception {
        startAll(DAEMONS);
        await(() -> allCount(DAEMONS));
        for (Daemon daemon : daemons) {
            onLoop(() -> {
                daemon.lease().start();
                return null;
            });
        }
        await(() -> store.lease.isPresent());
        Thread.sleep(1_000);
        int before = onLoop(() -> store.leaseReads);
        Thread.sleep(2_000);

        assertThat(onLoop(() -> store.leaseReads) - before).isLessThan(DAEMONS);
    }

    /** Guards against daemons of a small deployment that each query the store for data that the lease holder has. */
    @Test
    void holderSharesStoreViewInMesh() throws Exception {
        startAll(MESH_DAEMONS);
        for (Daemon daemon : daemons) {
            onLoop(() -> {
                daemon.lease().start();
                return null;
            });
        }
        await(() -> daemons.stream()
                        .filter(daemon -> daemon.storeViews().appliedViews > 0)
                        .count()
                == MESH_DAEMONS - 1);

        for (Daemon daemon : daemons) {
            assertThat(onLoop(() -> daemon.storeViews().appliedViews > 0))
                    .isNotEqualTo(onLoop(() -> daemon.lease().held().isPresent()));
        }
        // Ages are measured on the receiver's own clock.
        assertThat(onLoop(() -> daemons.stream()
                        .mapToLong(daemon -> daemon.storeViews().maxAgeMillis)
                        .max()
                        .orElseThrow()))
                .isLessThan(CONVERGENCE_TIMEOUT_MILLIS);
    }

    private final class RecordingExchange implements StoreViewExchange {
        private int appliedViews;
        private long maxAgeMillis;

        @Override
        public StoreView view() {
            return StoreView.getDefaultInstance();
        }

        @Override
        public void apply(StoreView view, long stampMillis) {
            appliedViews++;
            maxAgeMillis = Math.max(maxAgeMillis, clocks.bootMillis() - stampMillis);
        }
    }

    /** Must only be used on the event loop. */
    private static final class FakeStore implements ObjectStore {
        private final Map<String, DaemonEndpoint> daemons = new LinkedHashMap<>();
        private Optional<StoredObject<Lease>> lease = Optional.empty();
        private long revision = 1;
        private int leaseReads;

        @Override
        @SuppressWarnings("unchecked")
        public <T> void list(ObjectKind<T> kind, boolean mayBeOld, Consumer<StoreResult<Listing<T>>> done) {
            List<StoredObject<T>> objects = new ArrayList<>();
            if (kind instanceof ObjectKind.Daemons) {
                daemons.forEach((name, endpoint) -> objects.add(
                        (StoredObject<T>) new StoredObject<>(name, new StoreRevision(0, 1), Optional.of(endpoint))));
            } else {
                leaseReads++;
                lease.ifPresent(object -> objects.add((StoredObject<T>) object));
            }
            done.accept(new StoreResult.Ok<>(new Listing<>(objects, new StoreRevision(0, revision))));
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
            if (!lease.map(StoredObject::revision).equals(expected)) {
                done.accept(new StoreResult.Conflict<>());
                return;
            }
            revision++;
            lease = Optional.of(new StoredObject<>(name, new StoreRevision(0, revision), Optional.of((Lease) content)));
            done.accept(new StoreResult.Ok<>((StoredObject<T>) lease.get()));
        }
    }
}
