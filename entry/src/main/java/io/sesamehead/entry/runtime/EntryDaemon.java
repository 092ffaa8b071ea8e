package io.sesamehead.entry.runtime;

import com.google.common.collect.Sets;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.sesamehead.coordination.admission.PoolArrivals;
import io.sesamehead.coordination.admission.SlotShares;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.catalog.RouteTable;
import io.sesamehead.coordination.dispatch.BusyUpstreams;
import io.sesamehead.coordination.dispatch.ColdUpstreams;
import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.Dispatcher;
import io.sesamehead.coordination.dispatch.DomainChoice;
import io.sesamehead.coordination.dispatch.PromptPartCrashes;
import io.sesamehead.coordination.dispatch.RateLimitShares;
import io.sesamehead.coordination.dispatch.RefusedConnections;
import io.sesamehead.coordination.dispatch.RequestCrashes;
import io.sesamehead.coordination.dispatch.ServiceTimeEstimator;
import io.sesamehead.coordination.dispatch.StatedRateLimits;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetSurvival;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.dispatch.UpstreamCapacity;
import io.sesamehead.coordination.evacuation.Evacuations;
import io.sesamehead.coordination.membership.ReportTopology;
import io.sesamehead.coordination.store.StoreHistory;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.UpstreamOrderSender;
import io.sesamehead.entry.transport.ControlClient;
import io.sesamehead.entry.transport.HttpConnectionPool;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.Incarnation;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** An entry daemon: runs all its components on one event loop, from start to graceful stop. */
public final class EntryDaemon {
    /** Interval of the periodic checks, such as for stalled targets, in milliseconds. */
    private static final long TICK_INTERVAL_MILLIS = 50;
    /**
     * Interval of the controller's steps and of the checks that need not follow each tick, in milliseconds: a step takes a
     * few milliseconds with 1,000 upstreams.
     */
    private static final long CONTROL_INTERVAL_MILLIS = 100;
    /** Delay of a tick above which the process counts as paused, in milliseconds. */
    private static final long PAUSE_THRESHOLD_MILLIS = 150;
    /**
     * Time by which the lease on keys is shortened, in milliseconds: the configuration watch may receive nothing for a
     * second before its connection is closed.
     */
    private static final long MAX_WATCH_SILENCE_MILLIS = 1_400;
    /** Interval of the log line with the counts of store calls, in milliseconds. */
    private static final long STORE_CALLS_LOG_INTERVAL_MILLIS = 10_000;
    /** Interval of the log line with the delay of the event loop, in milliseconds. */
    private static final long LOOP_DELAY_LOG_INTERVAL_MILLIS = 2_000;

    private final EntrySettings settings;
    private final EventLoop loop;
    private final Clocks clocks;
    private final EventLog log;
    private final EventLoopTasks tasks;
    private final LoopDelay loopDelay;
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final ActiveConfig activeConfig;
    private final UpstreamRegistry registry;
    private final Fleet fleet = new Fleet();
    private final TargetTable targetTable = new TargetTable();
    private final CrashEvidence crashEvidence;
    private final Evacuations evacuations = new Evacuations();
    private final ColdUpstreams coldUpstreams;
    private final ColdUpstreamRecorder coldUpstreamRecorder;
    private final RateLimitShares rateLimitShares;
    private final RateLimitRecorder rateLimitRecorder;
    private final PoolArrivals poolArrivals = new PoolArrivals();
    private final OriginReports originReports;
    private final RefusedConnections refusedConnections;
    private final ModelLoads modelLoads = new ModelLoads();
    private final HttpConnectionPool clients;
    private final StoreHistory storeHistory = new StoreHistory();
    private final MeteredStore store;
    private final PeerDirectory directory;
    private final PeerReporter peerReporter;
    private final CrashRecorder crashRecorder;
    private final LeaseTask lease;
    private final CallEnvironment environment;
    private final SilenceWatch silenceWatch;
    private final CallerServer callerServer;
    private final CallerServer peerServer;
    private final ConfigWatch configWatch;
    private final RegistryWatch registryWatch;
    private final EvacuationWatch evacuationWatch;
    private final UpstreamOrderSender orders;
    private final CallTranslator translator;
    /** Warm-up that has not begun yet. */
    private Optional<Supplier<CallWarmUp>> warmUp = Optional.empty();

    private Optional<ControllerTerm> term = Optional.empty();
    private long lastTickAtMillis;
    private long lastControlAtMillis;
    private final Readiness readiness;
    private final GracefulStop stop;

    /**
     * Creates a daemon; {@link #start} starts it.
     *
     * @param settings settings of the daemon
     * @param clocks clocks of the process
     * @param random source of randomness
     * @param platform creates the platform adapters
     */
    public EntryDaemon(EntrySettings settings, Clocks clocks, RandomGenerator random, PlatformAdapters platform) {
        this(settings, clocks, random, platform, (EventLoop)
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next());
        // Created once the daemon is ready, which it would otherwise be later.
        warmUp = Optional.of(() -> new CallWarmUp(
                loop,
                clocks,
                new EntryDaemon(settings, clocks, random, platform, loop).callPath(),
                settings.failureDomain(),
                translator,
                platform.sampleHeaders(),
                () -> environment.openCalls() > 0,
                log));
    }

    /** Creates a daemon on an event loop, without a warm-up. */
    EntryDaemon(
            EntrySettings settings, Clocks clocks, RandomGenerator random, PlatformAdapters platform, EventLoop loop) {
        this.settings = settings;
        this.clocks = clocks;
        this.loop = loop;
        this.log = new EventLog(clocks);
        this.tasks = new EventLoopTasks(loop, log);
        this.loopDelay = new LoopDelay(log);
        this.registry = new UpstreamRegistry(settings.heartbeatMillis());
        this.activeConfig = new ActiveConfig(settings.keyRevocationMillis() - MAX_WATCH_SILENCE_MILLIS);
        this.coldUpstreams = ColdUpstreamRecorder.coldUpstreams(settings);
        this.refusedConnections = new RefusedConnections(new DaemonId(settings.daemon()));
        this.clients = new HttpConnectionPool(loop, clocks, this::onConnectionRefused);
        ControlClient control = new ControlClient(clients);
        this.store = new MeteredStore(platform.store(control, this::onStoreEra), metrics, log);
        ObjectStore presentStore = new PresentHistoryStore(store, storeHistory, loop);
        this.orders = platform.orders(control);
        this.translator = platform.translator();
        long incarnation = random.nextLong();
        CrashHistory crashHistory = new CrashHistory();
        DaemonId daemon = new DaemonId(settings.daemon());
        PromptPartCrashes partCrashes = new PromptPartCrashes(crashHistory, daemon);
        this.lease = leaseTask(presentStore, new Incarnation(incarnation), random);
        ReportTopology topology = new ReportTopology(daemon, settings.failureDomain());
        this.directory = new PeerDirectory(loop, clocks, settings, presentStore, topology, log);
        this.configWatch = configWatch(presentStore);
        this.registryWatch = registryWatch(presentStore, topology, random);
        this.evacuationWatch = evacuationWatch(presentStore);
        this.readiness = new Readiness(clocks, activeConfig, registry, evacuations, log);
        LeavingRecorder leavingRecorder = new LeavingRecorder(clocks, registry, log, this::onFleetChange);
        StatedRateLimits statedRateLimits = new StatedRateLimits();
        this.rateLimitShares = new RateLimitShares(statedRateLimits, random);
        this.rateLimitRecorder = new RateLimitRecorder(clocks, statedRateLimits, rateLimitShares, log);
        this.originReports = new OriginReports(clocks, settings.failureDomain(), fleet, targetTable, log);
        this.peerReporter = peerReporter(incarnation, topology, crashHistory, partCrashes, leavingRecorder);
        this.coldUpstreamRecorder = coldUpstreamRecorder();
        this.crashRecorder =
                new CrashRecorder(loop, clocks, InstantSource.system(), presentStore, crashHistory, log, random);
        TargetSurvival survival = new TargetSurvival(settings.heartbeatMillis());
        RequestCrashes requests = new RequestCrashes(crashHistory, survival, daemon);
        this.environment = callEnvironment(crashHistory, requests, partCrashes, leavingRecorder, random);
        this.crashEvidence = new CrashEvidence(environment, registry, crashHistory, survival, refusedConnections);
        this.silenceWatch = new SilenceWatch(environment);
        this.callerServer = new CallerServer(environment, new CallRouter(environment, random, false));
        this.peerServer = new CallerServer(environment, new CallRouter(environment, random, true));
        this.stop = gracefulStop();
    }

    private LeaseTask leaseTask(ObjectStore presentStore, Incarnation incarnation, RandomGenerator random) {
        BooleanSupplier cutOff = () -> environment.peerForwarding().isCutOff();
        return LeaseTask.create(
                loop, clocks, presentStore, settings, incarnation, registry::entries, cutOff, log, random);
    }

    private PeerReporter peerReporter(
            long incarnation,
            ReportTopology topology,
            CrashHistory crashHistory,
            PromptPartCrashes partCrashes,
            LeavingRecorder leavingRecorder) {
        return new PeerReporter(
                loop,
                clocks,
                settings,
                incarnation,
                directory,
                topology,
                targetTable,
                new CrashExchange(clocks, crashHistory, partCrashes, log),
                refusedConnections,
                rateLimitRecorder,
                List.of(new PoolArrivalSection(clocks, poolArrivals), originReports),
                leavingRecorder,
                modelLoads,
                lease,
                storeViews(),
                log);
    }

    private GracefulStop gracefulStop() {
        return new GracefulStop(
                clocks,
                settings.shutdownGraceMillis(),
                environment,
                callerServer,
                peerServer,
                readiness,
                lease,
                () -> term.map(ControllerTerm::ordersInFlight).orElse(0),
                log,
                tasks);
    }

    private RegistryWatch registryWatch(ObjectStore presentStore, ReportTopology topology, RandomGenerator random) {
        return new RegistryWatch(
                loop,
                clocks,
                presentStore,
                registry,
                settings.upstreamDrainMillis(),
                log,
                this::onFleetChange,
                () -> lease.epoch().isPresent(),
                () -> !topology.mesh(),
                random);
    }

    private StoreViewExchange storeViews() {
        return new CachedStoreViewExchange(
                clocks, activeConfig, configWatch, registryWatch, evacuationWatch, storeHistory, log);
    }

    private ConfigWatch configWatch(ObjectStore presentStore) {
        return new ConfigWatch(
                loop, clocks, presentStore, activeConfig, settings.configConvergenceMillis(), log, this::onFleetChange);
    }

    private ColdUpstreamRecorder coldUpstreamRecorder() {
        return new ColdUpstreamRecorder(
                clocks, coldUpstreams, registry, directory, settings, peerReporter::trafficSeen, log, metrics);
    }

    private EvacuationWatch evacuationWatch(ObjectStore presentStore) {
        return new EvacuationWatch(
                loop,
                clocks,
                presentStore,
                evacuations,
                settings.placement().evacuationMillis(),
                () -> peerReporter.tellsStoreView(),
                log,
                this::onEvacuationChange);
    }

    private void onEvacuationChange() {
        coldUpstreamRecorder.recordEvacuationEnds(evacuations);
        peerReporter.reportStoreViewSoon();
    }

    /** Creates the environment shared by all calls. */
    private CallEnvironment callEnvironment(
            CrashHistory crashHistory,
            RequestCrashes requestCrashes,
            PromptPartCrashes partCrashes,
            LeavingRecorder leavingRecorder,
            RandomGenerator random) {
        ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
        BusyUpstreams busyUpstreams = new BusyUpstreams();
        UpstreamCapacity capacity = new UpstreamCapacity(busyUpstreams, rateLimitShares, coldUpstreams, evacuations);
        DomainChoice domains = originReports.choice(
                capacity, pool -> environment.domainTraffic().byteMillis(pool), random);
        Dispatcher dispatcher =
                new Dispatcher(settings.failureDomain(), targetTable, capacity, serviceTimes, random, domains);
        SlotShares shares = new SlotShares(poolArrivals, dispatcher, targetTable, serviceTimes, random);
        return new CallEnvironment(
                settings,
                loop,
                clocks,
                translator,
                activeConfig,
                registry,
                fleet,
                targetTable,
                serviceTimes,
                busyUpstreams,
                dispatcher,
                new SlotAdmission(
                        activeConfig, fleet, shares, settings.placement().divideSlots(), metrics),
                crashHistory,
                requestCrashes,
                partCrashes,
                leavingRecorder,
                rateLimitShares,
                rateLimitRecorder,
                peerReporter,
                modelLoads,
                clients,
                log,
                metrics);
    }

    /**
     * Binds the ports and starts all periodic tasks.
     *
     * @throws InterruptedException if the thread is interrupted while the ports are bound
     */
    public void start() throws InterruptedException {
        log.start();
        new EventLoopGuard(log, Runtime.getRuntime()::halt).watch(loop);
        DaemonGauges.register(
                metrics,
                clocks,
                activeConfig,
                registry,
                fleet,
                targetTable,
                environment,
                callerServer,
                clients,
                peerReporter,
                lease,
                log);
        evacuationWatch.registerGauges(metrics);
        new StatusServer(Map.of(translator.readinessPath(), readiness::page))
                .listen(loop, settings.readinessEndpoint());
        if (settings.adminEndpoint().isPresent()) {
            new StatusServer(Map.of("/metrics", this::metricsPage))
                    .listen(loop, settings.adminEndpoint().get());
        }
        callerServer.listen(loop, settings.callerEndpoint());
        peerServer.listen(loop, settings.peerEndpoint());
        peerReporter.start();
        crashRecorder.start();
        loop.execute(() -> {
            log.write(
                    EventLog.Component.DAEMON,
                    "started",
                    "daemon",
                    settings.daemon(),
                    "failure_domain",
                    settings.failureDomain());
            lastTickAtMillis = clocks.steadyMillis();
            configWatch.start();
            registryWatch.start();
            evacuationWatch.start();
            lease.start();
        });
        tasks.repeat("log-store-calls", store::logCalls, STORE_CALLS_LOG_INTERVAL_MILLIS);
        tasks.repeat("log-loop-delay", loopDelay::logAndReset, LOOP_DELAY_LOG_INTERVAL_MILLIS);
        tasks.repeat("tick", this::tick, TICK_INTERVAL_MILLIS);
    }

    /** Begins a graceful stop, at the end of which the process exits, see {@link GracefulStop}. */
    public void stop() {
        loop.execute(stop::begin);
    }

    /**
     * Logs that the settings file has changed. A running process keeps its settings; the change applies at the next
     * start.
     */
    public void settingsChanged() {
        loop.execute(() -> log.write(EventLog.Component.DAEMON, "settings-changed", "effect", "at-next-start"));
    }

    private void tick() {
        long now = clocks.steadyMillis();
        long lateMillis = now - lastTickAtMillis - TICK_INTERVAL_MILLIS;
        lastTickAtMillis = now;
        loopDelay.record(lateMillis);
        if (lateMillis > PAUSE_THRESHOLD_MILLIS) {
            targetTable.compensatePause(lateMillis);
            log.write(EventLog.Component.DAEMON, "paused", "ms", lateMillis);
        }
        if (registry.expire(now)) {
            onFleetChange();
        }
        silenceWatch.check();
        crashEvidence.refuteCrashes();
        crashRecorder.writeIfChanged();
        environment.endRefusedCalls();
        if (now - lastControlAtMillis >= CONTROL_INTERVAL_MILLIS) {
            lastControlAtMillis = now;
            environment.peerForwarding().probeLostPaths();
            clients.closeExpired();
            coldUpstreamRecorder.update();
            rateLimitRecorder.expire(registry::isListed, 1 + peerReporter.listedDaemons());
            originReports.expire();
            environment.slotAdmission().refresh(now);
            runController();
        }
        readiness.logChange();
        if (readiness.isReady() && warmUp.isPresent()) {
            warmUp.get().get().begin();
            warmUp = Optional.empty();
        }
    }

    /** Returns what calls run through, for a daemon that is not started. */
    CallPath callPath() {
        return new CallPath(activeConfig, registry, callerServer, this::onFleetChange);
    }

    private void onStoreEra(long era) {
        long before = storeHistory.era();
        if (!storeHistory.record(era)) {
            return;
        }
        log.write(EventLog.Component.STORE, "restored", "era", era, "before", before);
        // The first two watches ask whether this daemon is the controller, which it is not after the lease's reaction.
        List<Runnable> reactions = List.of(
                registryWatch::onStoreRestored,
                evacuationWatch::onStoreRestored,
                crashEvidence::onStoreRestored,
                lease::onStoreRestored,
                configWatch::onStoreRestored,
                crashRecorder::onStoreRestored,
                directory::onStoreRestored);
        reactions.forEach(reaction -> tasks.run("store-restored", reaction, () -> {}));
    }

    private void onConnectionRefused(Endpoint peer) {
        crashEvidence.onConnectionRefused(peer);
    }

    private void runController() {
        OptionalLong epoch = stop.hasBegun() ? OptionalLong.empty() : lease.epoch();
        Optional<RouteTable> config = activeConfig.table();
        // Without the evacuations, replacements of evacuated groups would count beside them.
        if (epoch.isEmpty() || config.isEmpty() || evacuations.isAwaited()) {
            return;
        }
        if (term.isEmpty() || term.get().epoch() != epoch.getAsLong()) {
            term = Optional.of(new ControllerTerm(
                    epoch.getAsLong(),
                    settings.stallDetectionMillis(),
                    settings.bootstrap(),
                    registry.formerGroups(),
                    clocks,
                    fleet,
                    targetTable,
                    refusedConnections,
                    peerReporter::alone,
                    evacuations,
                    modelLoads,
                    orders,
                    log,
                    metrics,
                    () -> lease.epoch().equals(epoch),
                    lease::onFenced));
        }
        // The previous holder's last orders must be visible in the registry before this daemon sends any.
        if (!registryWatch.confirmedSince(term.get().startedAtMillis())) {
            registryWatch.refresh();
            return;
        }
        term.get().planServices(config.get().config().services().values(), peerReporter.trafficSeen());
    }

    private void onFleetChange() {
        if (activeConfig.table().isEmpty()) {
            return;
        }
        Set<TargetKey> before = fleet.servingKeys();
        fleet.update(registry.entries(), activeConfig.table().get().config());
        coldUpstreamRecorder.onFleetChange(activeConfig.table().get().config());
        Set<TargetKey> now = fleet.servingKeys();
        Sets.difference(now, before).forEach(key -> logTarget("serving", key, now.size()));
        Sets.difference(before, now).forEach(key -> logTarget("not-serving", key, now.size()));
        crashEvidence.onFleetChange(now);
        targetTable.retainTargets(key -> key.isPeer() || fleet.exists(key));
    }

    private void logTarget(String event, TargetKey key, int serving) {
        log.write(EventLog.Component.GROUP, event, "target", key, "serving", serving);
    }

    private StatusServer.Page metricsPage() {
        return new StatusServer.Page(HttpResponseStatus.OK, metrics.text());
    }
}
