package io.sesamehead.daemon.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.standin.platform.PlatformSettings;
import io.sesamehead.standin.platform.PlatformStandIn;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against clients that state the wrong thing about a request that failed. */
final class ClientFailuresTest {
    private static final String HOST = "127.0.0.1";
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final ServiceRequest POST = new ServiceRequest(
            "POST", "a", "", new byte[] {1}, new RequestId("r"), new ClientAccount("shop-1"), Optional.empty());

    private static PlatformClient client(InetSocketAddress address, int callsPerSecond) {
        return new PlatformClient(
                new DaemonSettings.Platform(address, Duration.ofMillis(500), callsPerSecond),
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    private static void faults(PlatformStandIn platform, String body) throws Exception {
        URI uri = URI.create("http://" + HOST + ":" + platform.address().getPort() + "/admin/faults");
        HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(uri)
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.discarding());
    }

    @Test
    void reportsWhetherRequestWasSent() throws Exception {
        try (ServiceClient client = new ServiceClient(10, 10, SECOND);
                ServerSocket silent = new ServerSocket(0, 10, InetAddress.getByName(HOST))) {
            String address = HOST + ":" + silent.getLocalPort();

            assertThat(client.call(address, POST, Duration.ofMillis(100), new Cancellation(), SendGate.OPEN))
                    .isInstanceOf(UpstreamResult.DeadlinePassed.class);
            assertThat(client.call(address, POST, SECOND, new Cancellation(), () -> false))
                    .isInstanceOf(UpstreamResult.NotSent.class);
            Thread closer = Thread.startVirtualThread(() -> closeAccepted(silent));
            assertThat(client.call(address, POST, Duration.ofSeconds(5), new Cancellation(), SendGate.OPEN))
                    .isInstanceOf(UpstreamResult.Lost.class);
            closer.join();
            silent.close();
            assertThat(client.call(address, POST, SECOND, new Cancellation(), SendGate.OPEN))
                    .isInstanceOf(UpstreamResult.NotSent.class);
        }
    }

    private static void closeAccepted(ServerSocket silent) {
        try {
            // The first connections belong to the calls before.
            for (int index = 0; index < 3; index++) {
                silent.accept().close();
            }
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void writesAreConditionalAndTyped() throws Exception {
        try (PlatformStandIn platform = new PlatformStandIn(PlatformSettings.at(HOST, 0))) {
            platform.start();
            try (PlatformClient client = client(platform.address(), 1000)) {
                assertThat(client.read("orders", "a")).isInstanceOf(StoreResult.NotFound.class);
                StoreResult<PlatformObject> created =
                        client.create("orders", "a", Json.object().put("n", 1));
                PlatformObject object = ((StoreResult.Ok<PlatformObject>) created).value();
                assertThat(client.create("orders", "a", Json.object())).isInstanceOf(StoreResult.AlreadyExists.class);
                assertThat(client.update(object.withSpec(Json.object().put("n", 2))))
                        .isInstanceOf(StoreResult.Ok.class);
                assertThat(client.update(object)).isInstanceOf(StoreResult.Conflict.class);
                assertThat(((StoreResult.Ok<ImmutableList<PlatformObject>>) client.list("orders")).value())
                        .hasSize(1);

                faults(platform, "{\"loseAnswers\":1}");
                assertThat(client.create("orders", "b", Json.object())).isInstanceOf(StoreResult.Ambiguous.class);
                assertThat(client.read("orders", "b")).isInstanceOf(StoreResult.Ok.class);
                faults(platform, "{\"slowMillis\":2000}");
                assertThat(client.create("orders", "c", Json.object())).isInstanceOf(StoreResult.Ambiguous.class);
                assertThat(client.read("orders", "a")).isInstanceOf(StoreResult.Unavailable.class);
                faults(platform, "{\"slowMillis\":0,\"down\":true}");
                assertThat(client.create("orders", "d", Json.object())).isInstanceOf(StoreResult.Unavailable.class);
            }
        }
    }

    @Test
    void watchDeliversChangesUntilCancelled() throws Exception {
        try (PlatformStandIn platform = new PlatformStandIn(PlatformSettings.at(HOST, 0))) {
            platform.start();
            try (PlatformClient client = client(platform.address(), 1000)) {
                PlatformObject first = ((StoreResult.Ok<PlatformObject>) client.create(
                                "releases", "current", Json.object().put("n", 1)))
                        .value();
                List<WatchEvent> events = new ArrayList<>();
                Cancellation cancellation = new Cancellation();
                Thread writer = Thread.startVirtualThread(
                        () -> client.update(first.withSpec(Json.object().put("n", 2))));
                WatchResult end = client.watch(
                        "releases", "current", first.resourceVersion(), Duration.ofSeconds(10), cancellation, event -> {
                            events.add(event);
                            cancellation.cancel();
                        });
                writer.join();

                assertThat(end).isInstanceOf(WatchResult.TimedOut.class);
                assertThat(events).singleElement().isInstanceOf(WatchEvent.Changed.class);
            }
        }
    }

    @Test
    void tokenBucketRefusesExcessiveWaits() {
        TokenBucket bucket = new TokenBucket(10, 2, 0);

        assertThat(bucket.reserve(0, 0)).isZero();
        assertThat(bucket.reserve(0, 0)).isZero();
        assertThat(bucket.reserve(0, 99)).isEqualTo(-1);
        assertThat(bucket.reserve(0, 100)).isEqualTo(100);
        assertThat(bucket.reserve(0, 150)).isEqualTo(-1);
        assertThat(bucket.reserve(200, 0)).isZero();
    }
}
