package io.sesamehead.bench.capacity;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.group.ServeDecision;
import io.sesamehead.coordination.group.ServeGate;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.protocol.ReleaseCodec;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.runtime.DaemonProcess;
import io.sesamehead.daemon.runtime.DaemonTables;
import io.sesamehead.daemon.runtime.MonotonicClock;
import io.sesamehead.daemon.runtime.WriteTokenSource;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.Addresses;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.Incarnation;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Daemons in this process with the settings of docs/examples/daemon.ini, against one platform. */
final class Fleet implements AutoCloseable {
    private static final long MAX_AGE_MILLIS = 3_000;
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(90);

    /** Above the figures of one daemon, because all daemons of this process wait in turn for few cores. */
    private static final int CALLS_PER_SECOND = 100;

    final List<DaemonProcess> daemons = new ArrayList<>();
    private final InetSocketAddress platform;
    private final PlatformClient client;
    private final WriteTokenSource tokens = new WriteTokenSource(new Incarnation(42));

    Fleet(String platformAddress) {
        this.platform = Addresses.parse(platformAddress);
        this.client = new PlatformClient(
                new DaemonSettings.Platform(platform, Duration.ofSeconds(2), 1_000), new MonotonicClock()::millis);
    }

    /** Starts daemons of one failure domain; all know the first daemon of the fleet as their seed. */
    void start(String failureDomain, int count) {
        start(failureDomain, count, platform);
    }

    /** Starts daemons that do not reach the platform. */
    void startCutOff(String failureDomain, int count) {
        start(failureDomain, count, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
    }

    private void start(String failureDomain, int count, InetSocketAddress store) {
        for (int number = 1; number <= count; number++) {
            daemons.add(DaemonProcess.start(settings(failureDomain + "-d" + number, failureDomain, store)));
        }
    }

    private DaemonSettings settings(String name, String failureDomain, InetSocketAddress store) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        ImmutableList<InetSocketAddress> seeds = daemons.isEmpty()
                ? ImmutableList.of()
                : ImmutableList.of(
                        Addresses.parse(daemons.getFirst().tables().self().peerAddress()));
        return new DaemonSettings(
                new DaemonSettings.Identity(
                        new DaemonId(name), new FailureDomain(failureDomain), "region", any, any, any),
                new DaemonSettings.Platform(store, Duration.ofMillis(500), CALLS_PER_SECOND),
                new DaemonSettings.Peers(seeds, Duration.ofSeconds(1), Duration.ofSeconds(3)),
                new DaemonSettings.LeaseTimes(Duration.ofSeconds(5), Duration.ofMillis(500), Duration.ofSeconds(1)),
                new DaemonSettings.EvidenceLimits(Duration.ofMillis(MAX_AGE_MILLIS)),
                new DaemonSettings.Limits(200, 200, 1 << 20),
                new DaemonSettings.Shutdown(Duration.ofSeconds(1)),
                new DaemonSettings.Log("warn"));
    }

    /** Accepts the first release note. */
    void accept(String note) {
        ReleaseObject first = ReleaseObject.first(note, tokens.next());
        require(client.create(ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE, ReleaseCodec.encode(first)));
    }

    /** Accepts the next generation with the same note and returns its number. */
    long acceptNext() throws Exception {
        PlatformObject object = require(client.read(ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE));
        ReleaseObject release = ReleaseCodec.decode(object.spec());
        ReleaseObject next = release.next(release.note(), release.drained(), tokens.next());
        require(client.update(object.withSpec(ReleaseCodec.encode(next))));
        return next.generation().value();
    }

    private static PlatformObject require(StoreResult<PlatformObject> result) {
        if (result instanceof StoreResult.Ok<PlatformObject>(PlatformObject object)) {
            return object;
        }
        throw new IllegalStateException("the store answered " + result);
    }

    void awaitGeneration(long generation) throws InterruptedException {
        await(
                "generation " + generation + " everywhere",
                () -> daemons.stream()
                        .allMatch(it -> it.tables().config().generation().value() >= generation));
    }

    /** Waits until every daemon of the first failure domain would send work to this many groups. */
    void awaitServing(long groups) throws InterruptedException {
        await(
                groups + " serving groups",
                () -> daemons.stream()
                        .filter(it -> it.tables().failureDomain().equals(Shapes.DOMAIN))
                        .allMatch(it -> servingGroups(it) >= groups));
    }

    private static long servingGroups(DaemonProcess daemon) {
        DaemonTables tables = daemon.tables();
        return tables.assignments().assignment(tables.failureDomain()).map(GroupAssignment::groups).stream()
                .flatMap(List<Group>::stream)
                .filter(group ->
                        ServeGate.decide(daemon.nowMillis(), group, tables.evidence()::evidence, MAX_AGE_MILLIS)
                                instanceof ServeDecision.Serve)
                .count();
    }

    boolean isRelay(DaemonProcess daemon) {
        return daemon.tables().isRelay(daemon.nowMillis());
    }

    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + WAIT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException("not seen in time: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    @Override
    public void close() {
        daemons.forEach(DaemonProcess::close);
        client.close();
    }
}
