package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.group.ServeDecision;
import io.sesamehead.coordination.group.ServeGate;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.protocol.ReleaseCodec;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.Addresses;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.standin.engine.EngineSettings;
import io.sesamehead.standin.engine.EngineStandIn;
import io.sesamehead.standin.platform.PlatformSettings;
import io.sesamehead.standin.platform.PlatformStandIn;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.Incarnation;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.assertj.core.api.Assertions;

/** A platform stand-in, engine stand-ins and daemons in one process, on free ports. */
final class TestFleet implements AutoCloseable {
    static final long MAX_AGE_MILLIS = 3_000;
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long POLL_MILLIS = 20;

    final PlatformStandIn platform = new PlatformStandIn(PlatformSettings.at("127.0.0.1", 0));
    final List<EngineStandIn> engines = new ArrayList<>();
    final List<DaemonProcess> daemons = new ArrayList<>();
    private final HttpClient http = HttpClient.newHttpClient();
    private final WriteTokenSource tokens = new WriteTokenSource(new Incarnation(42));
    private PlatformClient client;

    TestFleet() throws IOException {
        platform.start();
        client = new PlatformClient(platform(platform.address()), new MonotonicClock()::millis);
    }

    private static DaemonSettings.Platform platform(InetSocketAddress address) {
        return new DaemonSettings.Platform(address, Duration.ofSeconds(2), 1_000);
    }

    void engine(String vm, String failureDomain) throws Exception {
        EngineStandIn engine = new EngineStandIn(EngineSettings.at("127.0.0.1", 0, vm));
        engine.start();
        engines.add(engine);
        String node = Json.object()
                .put("failureDomain", failureDomain)
                .put("fabricDomain", failureDomain + "-fabric")
                .put("accelerators", "1")
                .put("acceleratorMemoryGb", "80")
                .put("engineAddress", Addresses.text(engine.address()))
                .toString();
        admin("PUT", "/admin/nodes/" + vm, node);
    }

    void admin(String method, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + Addresses.text(platform.address()) + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8))
                .build();
        HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
        Assertions.assertThat(answer.statusCode()).isEqualTo(200);
    }

    /** Sends a completion of five tokens and returns the event stream. */
    String complete(DaemonProcess daemon) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(
                        "http://127.0.0.1:" + daemon.ports().callerPort() + "/v1/services/assistant/completions"))
                .header("X-Client-Account", "shop-1")
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"prompt\":\"a tin lid\",\"max_tokens\":5,\"stream\":true}"))
                .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Accepts the first release note. */
    void acceptFirstRelease(String note) {
        ReleaseObject first = ReleaseObject.first(note, tokens.next());
        Assertions.assertThat(client.create(ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE, ReleaseCodec.encode(first)))
                .isInstanceOf(StoreResult.Ok.class);
    }

    /** Accepts the next generation with the same note. */
    void acceptNextRelease() throws Exception {
        PlatformObject object = storedRelease();
        ReleaseObject release = ReleaseCodec.decode(object.spec());
        ReleaseObject next = release.next(release.note(), release.drained(), tokens.next());
        Assertions.assertThat(client.update(object.withSpec(ReleaseCodec.encode(next))))
                .isInstanceOf(StoreResult.Ok.class);
    }

    long storedGeneration() {
        return storedRelease().spec().path("generation").asLong();
    }

    private PlatformObject storedRelease() {
        StoreResult<PlatformObject> current = client.read(ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE);
        Assertions.assertThat(current).isInstanceOf(StoreResult.Ok.class);
        return ((StoreResult.Ok<PlatformObject>) current).value();
    }

    DaemonProcess daemon(String name, String failureDomain, InetSocketAddress... seeds) {
        return start(name, failureDomain, platform.address(), seeds);
    }

    /** Starts a daemon that does not reach the platform. */
    DaemonProcess daemonWithoutStore(String name, String failureDomain, InetSocketAddress... seeds) {
        return start(name, failureDomain, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), seeds);
    }

    private DaemonProcess start(
            String name, String failureDomain, InetSocketAddress store, InetSocketAddress... seeds) {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        DaemonProcess daemon = DaemonProcess.start(new DaemonSettings(
                new DaemonSettings.Identity(
                        new DaemonId(name), new FailureDomain(failureDomain), "region", any, any, any),
                platform(store),
                new DaemonSettings.Peers(ImmutableList.copyOf(seeds), Duration.ofMillis(300), Duration.ofMillis(1_500)),
                new DaemonSettings.LeaseTimes(
                        Duration.ofMillis(3_000), Duration.ofMillis(100), Duration.ofMillis(1_000)),
                new DaemonSettings.EvidenceLimits(Duration.ofMillis(MAX_AGE_MILLIS)),
                new DaemonSettings.Limits(100, 100, 1 << 20),
                new DaemonSettings.Shutdown(Duration.ofSeconds(5)),
                new DaemonSettings.Log("info")));
        daemons.add(daemon);
        return daemon;
    }

    static InetSocketAddress peerAddress(DaemonProcess daemon) {
        return Addresses.parse(daemon.tables().self().peerAddress());
    }

    /** Counts the groups that a daemon would send work to now. */
    static long servingGroups(DaemonProcess daemon) {
        DaemonTables tables = daemon.tables();
        return tables.assignments().assignment(tables.failureDomain()).map(GroupAssignment::groups).stream()
                .flatMap(List<Group>::stream)
                .filter(group ->
                        ServeGate.decide(daemon.nowMillis(), group, tables.evidence()::evidence, MAX_AGE_MILLIS)
                                instanceof ServeDecision.Serve)
                .count();
    }

    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + WAIT_NANOS;
        while (!condition.getAsBoolean()) {
            Assertions.assertThat(System.nanoTime()).as(what).isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void close() {
        daemons.forEach(DaemonProcess::close);
        engines.forEach(EngineStandIn::close);
        client.close();
        platform.close();
    }
}
