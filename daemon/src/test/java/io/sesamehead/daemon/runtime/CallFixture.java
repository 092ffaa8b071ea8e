package io.sesamehead.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.config.ConfigSource;
import io.sesamehead.coordination.config.ConfigTable;
import io.sesamehead.coordination.drain.DrainTable;
import io.sesamehead.coordination.drain.ShutdownSequence;
import io.sesamehead.coordination.lease.LeaseDecision;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.coordination.lease.LeaseSettings;
import io.sesamehead.coordination.membership.DaemonDirectory;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.daemon.protocol.EngineOrder;
import io.sesamehead.daemon.protocol.EngineStatus;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.settings.ReadResult;
import io.sesamehead.daemon.settings.ReleaseNoteReader;
import io.sesamehead.daemon.settings.SettingsReader;
import io.sesamehead.daemon.transport.CallerResource;
import io.sesamehead.daemon.transport.DaemonHttpServer;
import io.sesamehead.daemon.transport.EngineClient;
import io.sesamehead.daemon.transport.EngineStatusResult;
import io.sesamehead.daemon.transport.JsonServlet;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.SendGate;
import io.sesamehead.daemon.transport.ServiceClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.daemon.transport.UncaughtExceptionMapper;
import io.sesamehead.standin.engine.EngineSettings;
import io.sesamehead.standin.engine.EngineStandIn;
import io.sesamehead.standin.platform.PlatformSettings;
import io.sesamehead.standin.platform.PlatformStandIn;
import io.sesamehead.standin.service.ServiceSettings;
import io.sesamehead.standin.service.ServiceStandIn;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.AssignmentTable;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.EvidenceTable;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Generation;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import io.sesamehead.state.WriteToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/** A caller port over hand-made tables, with stand-ins for the platform, two groups of one engine, and a service. */
final class CallFixture implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final FailureDomain CEBU = new FailureDomain("cebu");
    private static final ServiceName ASSISTANT = new ServiceName("assistant");

    final List<EngineStandIn> engines = new ArrayList<>();
    final PlatformStandIn platform = new PlatformStandIn(PlatformSettings.at(HOST, 0));
    final ServiceStandIn service;
    final MonotonicClock clock = new MonotonicClock();
    final HttpClient http = HttpClient.newHttpClient();
    final MetricRegistry metrics = new MetricRegistry();
    final DaemonTables tables;
    final CallRuntime calls;
    private final EngineClient engineClient = new EngineClient(100, 100, Duration.ofMillis(500));
    private final ServiceClient serviceClient = new ServiceClient(100, 100, Duration.ofMillis(500));
    final PlatformClient platformClient;
    private final DaemonHttpServer ports;
    private final Thread prober;

    CallFixture(int engineCount, ServiceSettings serviceSettings, String limits) throws Exception {
        service = new ServiceStandIn(serviceSettings);
        service.start();
        platform.start();
        DaemonSettings settings = settings(limits);
        platformClient = new PlatformClient(settings.platform(), clock::millis);
        tables = tables();
        offerRelease();
        for (int index = 0; index < engineCount; index++) {
            EngineStandIn engine =
                    new EngineStandIn(EngineSettings.at(HOST, 0, "vm-" + index).withLatencies(1, 5));
            engine.start();
            engines.add(engine);
        }
        tables.vms().replace(clock.millis(), vms());
        offerAssignment();
        prober = Thread.startVirtualThread(this::probe);
        AtomicLong sequence = new AtomicLong();
        calls = new CallRuntime(new CallRuntime.Dependencies(
                settings,
                tables,
                platformClient,
                engineClient,
                serviceClient,
                () -> new WriteToken(tables.self().incarnation(), sequence.incrementAndGet()),
                RemoteCalls.none(),
                crashes -> {},
                metrics,
                clock::millis,
                System::currentTimeMillis));
        AtomicLong requests = new AtomicLong();
        ports = new DaemonHttpServer(
                new InetSocketAddress(HOST, 0),
                new InetSocketAddress(HOST, 0),
                metrics,
                List.of(
                        new CallerResource(
                                calls.service(),
                                settings.limits().bodyBytes(),
                                () -> new RequestId("drawn-" + requests.incrementAndGet()),
                                clock::millis),
                        new UncaughtExceptionMapper(() -> new RequestId("drawn-" + requests.incrementAndGet()))),
                Map.of(
                        "/status",
                        new JsonServlet(() -> new JsonServlet.JsonResponse(
                                200, new StatusReport(tables, calls, clock::millis).toJson()))));
        ports.start();
    }

    static CallFixture withEngines(int count) throws Exception {
        return new CallFixture(count, ServiceSettings.at(HOST, 0), "concurrent-calls = 50\nqueue-length = 50");
    }

    HttpRequest.Builder to(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + ports.callerPort() + path))
                .timeout(TIMEOUT)
                .header("X-Client-Account", "shop-1");
    }

    HttpRequest.Builder completion(String body) {
        return to("/v1/services/assistant/completions").POST(HttpRequest.BodyPublishers.ofString(body));
    }

    HttpRequest.Builder order(String body) {
        return to("/v1/services/orders/calls/orders").POST(HttpRequest.BodyPublishers.ofString(body));
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    JsonNode admin(String path) throws Exception {
        return get(new InetSocketAddress(HOST, ports.adminPort()), path);
    }

    int callerPort() {
        return ports.callerPort();
    }

    JsonNode get(InetSocketAddress address, String path) throws Exception {
        return Json.parse(send(HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + address.getPort() + path)))
                .body());
    }

    void faults(InetSocketAddress address, String body) throws Exception {
        send(HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + address.getPort() + "/admin/faults"))
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    void holdLease() {
        long now = clock.millis();
        if (tables.lease().decide(now, Optional.empty(), 0) instanceof LeaseDecision.Write write) {
            tables.lease().accepted(now, write.lease());
        }
    }

    int storedOrders() {
        return platformClient.list(ObjectKinds.ORDERS) instanceof StoreResult.Ok<ImmutableList<PlatformObject>>(var all)
                ? all.size()
                : -1;
    }

    boolean listens(EngineStandIn engine) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, engine.address().getPort()), 500);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the condition was not met within " + TIMEOUT);
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() throws Exception {
        prober.interrupt();
        prober.join();
        ports.close();
        engines.forEach(EngineStandIn::close);
        service.close();
        platform.close();
        engineClient.close();
        serviceClient.close();
        platformClient.close();
    }

    private DaemonSettings settings(String limits) {
        String text = """
                [daemon]
                name = cebu-1
                failure-domain = cebu
                region = visayas
                caller-address = 127.0.0.1:0
                peer-address = 127.0.0.1:0
                admin-address = 127.0.0.1:0
                [platform]
                address = 127.0.0.1:%d
                timeout = 500ms
                calls-per-second = 1000
                [lease]
                ttl = 10s
                drift = 1s
                longest-order = 2s
                [limits]
                %s
                """.formatted(platform.address().getPort(), limits);
        return switch (SettingsReader.read(text)) {
            case ReadResult.Valid<DaemonSettings>(DaemonSettings valid) -> valid;
            case ReadResult.Invalid<DaemonSettings>(var problems) -> throw new AssertionError(problems);
        };
    }

    private void offerRelease() {
        String note = """
                [release]
                note = test
                [service assistant]
                kind = model
                model = lid-writer
                version = 3
                replicas = 2
                vms-per-replica = 1
                accelerator-memory-gb = 40
                failure-domains = cebu
                load-seconds = 1
                [service orders]
                kind = plain
                addresses = cebu@127.0.0.1:%d
                non-idempotent = true
                """.formatted(service.address().getPort());
        ReadResult<ReleaseNote> read = ReleaseNoteReader.read(note);
        if (read instanceof ReadResult.Valid<ReleaseNote>(ReleaseNote valid)) {
            tables.config().offer(new AcceptedRelease(new Generation(1), valid, ImmutableSet.of()), ConfigSource.STORE);
        } else {
            throw new AssertionError(read);
        }
    }

    private static DaemonTables tables() {
        DaemonEntry self = new DaemonEntry(new DaemonId("cebu-1"), new Incarnation(7), CEBU, HOST + ":1", false);
        EvidenceTable evidence = new EvidenceTable();
        DrainTable drain = new DrainTable();
        return new DaemonTables(
                self,
                new ConfigTable(),
                new AssignmentTable(),
                evidence,
                new DaemonDirectory(self, 3_000, 12_000),
                new VmTable(evidence, drain),
                drain,
                new LeaseHolder(self.daemon(), self.incarnation(), new LeaseSettings(10_000, 1_000, 2_000)),
                new ShutdownSequence(1_000));
    }

    private ImmutableList<Vm> vms() {
        ImmutableList.Builder<Vm> result = ImmutableList.builder();
        for (int index = 0; index < engines.size(); index++) {
            String address = HOST + ":" + engines.get(index).address().getPort();
            result.add(new Vm(new VmId("vm-" + index), CEBU, new FabricDomain("rack-1"), 1, 80, address, false));
        }
        return result.build();
    }

    private void offerAssignment() throws Exception {
        ImmutableList.Builder<Group> groups = ImmutableList.builder();
        for (int index = 0; index < engines.size(); index++) {
            VmId vm = new VmId("vm-" + index);
            Epoch epoch = Epoch.of(1, index + 1);
            GroupId id = new GroupId("assistant-" + (index + 1));
            String address = HOST + ":" + engines.get(index).address().getPort();
            EngineOrder load = new EngineOrder.Load(
                    "load-" + index,
                    epoch,
                    CEBU,
                    id,
                    "lid-writer",
                    "3",
                    ImmutableList.of(new EngineOrder.MemberAddress(vm, address)),
                    0,
                    address);
            engineClient.order(address, load, TIMEOUT, SendGate.OPEN);
            await(() -> status(address)
                    .filter(it -> it.report().state() == EngineState.READY)
                    .isPresent());
            groups.add(new Group(
                    id,
                    ASSISTANT,
                    "lid-writer",
                    "3",
                    epoch,
                    GroupState.SERVING,
                    ImmutableList.of(new Group.Member(
                            vm, status(address).map(it -> it.report().engine())))));
        }
        tables.assignments()
                .offer(new GroupAssignment(CEBU, 1, 1, engines.size() + 1, groups.build(), ImmutableSet.of()));
        probeOnce();
    }

    private Optional<EngineStatus> status(String address) {
        return engineClient.status(address, Duration.ofMillis(300))
                        instanceof EngineStatusResult.Received(EngineStatus status)
                ? Optional.of(status)
                : Optional.empty();
    }

    private void probeOnce() {
        for (Vm vm : tables.vms().all()) {
            long now = clock.millis();
            Optional<EngineStatus> status = status(vm.engineAddress());
            tables.evidence()
                    .record(
                            status.isPresent()
                                    ? new Evidence.Reported(status.get().report(), now)
                                    : new Evidence.Unreachable(vm.id(), now));
        }
    }

    private void probe() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                probeOnce();
                Thread.sleep(20);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
