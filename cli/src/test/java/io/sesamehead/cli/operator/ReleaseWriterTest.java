package io.sesamehead.cli.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.standin.platform.PlatformSettings;
import io.sesamehead.standin.platform.PlatformStandIn;
import io.sesamehead.state.Generation;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.WriteToken;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the conditional write of an operator's change with concurrent operators and lost answers. */
class ReleaseWriterTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    /** Long enough to connect and send on a busy machine. */
    private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(1);

    private PlatformStandIn platform;
    private PlatformClient client;
    private long sequence;

    @BeforeEach
    void startPlatform() throws Exception {
        platform = new PlatformStandIn(PlatformSettings.at("127.0.0.1", 0));
        platform.start();
        client = client(TIMEOUT);
    }

    @AfterEach
    void stopPlatform() {
        client.close();
        platform.close();
    }

    @Test
    void reportsBothGenerationsToLosingOperator() throws Exception {
        ReleaseWriter writer = writer(1000);
        AcceptedRelease noRelease = writer.read();
        assertThat(writer.write(noRelease, next(noRelease))).isEqualTo(accepted(1));
        assertThat(writer.write(noRelease, next(noRelease))).isEqualTo(conflict(0, 1));
        AcceptedRelease first = writer.read();
        assertThat(writer.write(first, next(first))).isEqualTo(accepted(2));
        assertThat(writer.write(first, next(first))).isEqualTo(conflict(1, 2));
    }

    /** Once the list of writers is full, a missing token proves nothing, but the platform's refusal still does. */
    @Test
    void reportsConflictAfterManyOtherWriters() throws Exception {
        ReleaseWriter writer = writer(1000);
        AcceptedRelease stale = advance(writer, 1);
        advance(writer, ReleaseObject.MAX_WRITERS + 4);
        assertThat(writer.write(stale, next(stale))).isInstanceOf(WriteOutcome.Conflict.class);
    }

    /**
     * The write is applied after its caller has timed out, so neither "accepted" nor "not accepted" may be reported.
     */
    @Test
    void reportsUnknownWhenWriteCannotBeReadBack() throws Exception {
        AcceptedRelease base = advance(writer(1000), 1);
        ReleaseObject lateWrite = next(base);
        injectLatency(3 * SHORT_TIMEOUT.toMillis());
        try (PlatformClient shortTimeoutClient = client(SHORT_TIMEOUT)) {
            ReleaseWriter writer = new ReleaseWriter(shortTimeoutClient, ReleaseWriterTest::nowMillis, 100);
            assertThat(writer.write(base, lateWrite)).isInstanceOf(WriteOutcome.Unknown.class);
        }
        injectLatency(0);
        assertThat(writer(20_000).write(base, lateWrite)).isEqualTo(accepted(2));
    }

    private PlatformClient client(Duration timeout) {
        return new PlatformClient(
                new DaemonSettings.Platform(platform.address(), timeout, 1000), ReleaseWriterTest::nowMillis);
    }

    private ReleaseWriter writer(long timeoutMillis) {
        return new ReleaseWriter(client, ReleaseWriterTest::nowMillis, timeoutMillis);
    }

    private AcceptedRelease advance(ReleaseWriter writer, int times) throws Exception {
        for (int time = 0; time < times; time++) {
            AcceptedRelease base = writer.read();
            assertThat(writer.write(base, next(base))).isInstanceOf(WriteOutcome.Accepted.class);
        }
        return writer.read();
    }

    private ReleaseObject next(AcceptedRelease base) {
        sequence++;
        WriteToken token = new WriteToken(new Incarnation(7), sequence);
        return base.release()
                .map(release -> release.next("note " + sequence, release.drained(), token))
                .orElseGet(() -> ReleaseObject.first("note", token));
    }

    private static WriteOutcome accepted(long generation) {
        return new WriteOutcome.Accepted(new Generation(generation), new Generation(generation));
    }

    private static WriteOutcome conflict(long base, long current) {
        return new WriteOutcome.Conflict(new Generation(base), Optional.of(new Generation(current)));
    }

    private void injectLatency(long millis) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + platform.address().getPort() + "/admin/faults");
        try (HttpClient http = HttpClient.newHttpClient()) {
            HttpRequest request = HttpRequest.newBuilder(uri)
                    .POST(HttpRequest.BodyPublishers.ofString("{\"slowMillis\":" + millis + "}"))
                    .build();
            http.send(request, HttpResponse.BodyHandlers.discarding());
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
