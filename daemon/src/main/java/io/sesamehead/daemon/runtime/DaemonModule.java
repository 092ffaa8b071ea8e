package io.sesamehead.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.sesamehead.coordination.config.ConfigTable;
import io.sesamehead.coordination.drain.DrainTable;
import io.sesamehead.coordination.drain.ShutdownSequence;
import io.sesamehead.coordination.group.Controller;
import io.sesamehead.coordination.group.ControllerSettings;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.coordination.lease.LeaseSettings;
import io.sesamehead.coordination.membership.DaemonDirectory;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.Broadcaster;
import io.sesamehead.daemon.transport.EngineClient;
import io.sesamehead.daemon.transport.FrameCounters;
import io.sesamehead.daemon.transport.PeerMesh;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.ServiceClient;
import io.sesamehead.state.AssignmentTable;
import io.sesamehead.state.EvidenceTable;
import java.time.Duration;

/** Wires the parts of one daemon. The mesh is bound before, because the daemon's entry holds its address. */
public final class DaemonModule extends AbstractModule {
    /** Heartbeats between failure domains come every 5 s; two may be lost. */
    private static final long REMOTE_SUSPECT_MILLIS = 12_000;

    private static final int MAX_ENGINE_CONNECTIONS = 2_048;
    private static final int MAX_CONNECTIONS_PER_ENGINE = 256;
    private static final Duration ENGINE_CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final DaemonSettings settings;
    private final DaemonEntry self;
    private final PeerMesh mesh;
    private final FrameCounters counters;
    private final MetricRegistry metrics;
    private final MonotonicClock clock;

    /**
     * Creates the wiring.
     *
     * @param settings settings of the daemon
     * @param self this daemon with its bound peer address
     * @param mesh the bound mesh
     * @param counters frame counters of the mesh
     * @param metrics registry of all metrics
     * @param clock the clock of the process
     */
    DaemonModule(
            DaemonSettings settings,
            DaemonEntry self,
            PeerMesh mesh,
            FrameCounters counters,
            MetricRegistry metrics,
            MonotonicClock clock) {
        this.settings = settings;
        this.self = self;
        this.mesh = mesh;
        this.counters = counters;
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    protected void configure() {
        bind(DaemonSettings.class).toInstance(settings);
        bind(DaemonEntry.class).toInstance(self);
        bind(PeerMesh.class).toInstance(mesh);
        bind(FrameCounters.class).toInstance(counters);
        bind(MetricRegistry.class).toInstance(metrics);
        bind(MonotonicClock.class).toInstance(clock);
        bind(WorkerPool.class).toInstance(new WorkerPool());
    }

    @Provides
    @Singleton
    DaemonTables tables() {
        EvidenceTable evidence = new EvidenceTable();
        DrainTable drain = new DrainTable();
        DaemonSettings.LeaseTimes times = settings.lease();
        LeaseSettings leaseSettings = new LeaseSettings(
                times.ttl().toMillis(),
                times.drift().toMillis(),
                times.longestOrder().toMillis());
        return new DaemonTables(
                self,
                new ConfigTable(),
                new AssignmentTable(),
                evidence,
                new DaemonDirectory(self, settings.peers().suspectAfter().toMillis(), REMOTE_SUSPECT_MILLIS),
                new VmTable(evidence, drain),
                drain,
                new LeaseHolder(self.daemon(), self.incarnation(), leaseSettings),
                new ShutdownSequence(settings.shutdown().grace().toMillis()));
    }

    @Provides
    @Singleton
    Broadcaster broadcast() {
        return new Broadcaster(mesh, self.failureDomain());
    }

    @Provides
    @Singleton
    PlatformClient platform() {
        return new PlatformClient(settings.platform(), clock::millis);
    }

    @Provides
    @Singleton
    EngineClient engines() {
        return new EngineClient(MAX_ENGINE_CONNECTIONS, MAX_CONNECTIONS_PER_ENGINE, ENGINE_CONNECT_TIMEOUT);
    }

    @Provides
    @Singleton
    WriteTokenSource tokens() {
        return new WriteTokenSource(self.incarnation());
    }

    @Provides
    @Singleton
    StoreWriter writes(PlatformClient platform, WriteTokenSource tokens) {
        return new StoreWriter(platform, tokens);
    }

    @Provides
    @Singleton
    StateDistributor news(DaemonTables tables, Broadcaster broadcast) {
        return new StateDistributor(tables, broadcast, clock::millis);
    }

    @Provides
    @Singleton
    EvidenceExchange evidence(DaemonTables tables, Broadcaster broadcast) {
        return new EvidenceExchange(tables.evidence(), tables.drain(), broadcast, clock::millis);
    }

    @Provides
    @Singleton
    ProbeTask probes(DaemonTables tables, EvidenceExchange exchange, EngineClient engines, WorkerPool workers) {
        return new ProbeTask(tables, exchange, engines, workers, clock::millis);
    }

    @Provides
    @Singleton
    ServiceClient services() {
        return new ServiceClient(MAX_ENGINE_CONNECTIONS, MAX_CONNECTIONS_PER_ENGINE, ENGINE_CONNECT_TIMEOUT);
    }

    @Provides
    @Singleton
    CallRuntime calls(
            DaemonTables tables,
            PlatformClient platform,
            EngineClient engines,
            ServiceClient services,
            WriteTokenSource tokens,
            CallForwarder forwarding) {
        return new CallRuntime(new CallRuntime.Dependencies(
                settings,
                tables,
                platform,
                engines,
                services,
                tokens::next,
                forwarding,
                forwarding,
                metrics,
                clock::millis,
                System::currentTimeMillis));
    }

    @Provides
    @Singleton
    LeaseTask lease(DaemonTables tables, StateDistributor news, PlatformClient platform, StoreWriter writes) {
        return new LeaseTask(
                tables, news, platform, writes, settings.lease().ttl().toMillis(), clock::millis);
    }

    @Provides
    @Singleton
    EngineOrderSender orders(
            DaemonTables tables, Controller controller, EngineClient engines, ProbeTask probes, WorkerPool workers) {
        return new EngineOrderSender(
                tables, controller, engines, probes, workers, settings.lease().longestOrder(), clock::millis);
    }

    @Provides
    @Singleton
    Controller controller() {
        ControllerSettings times = ControllerSettings.of(
                settings.evidence().maxAge().toMillis(),
                settings.lease().longestOrder().toMillis());
        return new Controller(self.failureDomain(), times);
    }

    @Provides
    @Singleton
    ControllerTask controllerTask(
            DaemonTables tables,
            Controller controller,
            StateDistributor news,
            PlatformClient platform,
            StoreWriter writes,
            EngineOrderSender orders,
            ProbeTask probes) {
        return new ControllerTask(tables, controller, news, platform, writes, orders, probes, clock::millis);
    }
}
