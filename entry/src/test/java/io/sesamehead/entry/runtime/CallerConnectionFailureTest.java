package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.sesamehead.coordination.admission.PoolArrivals;
import io.sesamehead.coordination.admission.SlotShares;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.dispatch.BusyUpstreams;
import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.Dispatcher;
import io.sesamehead.coordination.dispatch.PromptPartCrashes;
import io.sesamehead.coordination.dispatch.RateLimitShares;
import io.sesamehead.coordination.dispatch.RequestCrashes;
import io.sesamehead.coordination.dispatch.ServiceTimeEstimator;
import io.sesamehead.coordination.dispatch.StatedRateLimits;
import io.sesamehead.coordination.dispatch.TargetSurvival;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.dispatch.UpstreamCapacity;
import io.sesamehead.coordination.drain.StopSchedule;
import io.sesamehead.entry.port.AttemptMetadata;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.port.ResponseMetadata;
import io.sesamehead.entry.transport.HttpConnectionPool;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are never answered because an exception occurred while they were routed, and against
 * requests that a stopping daemon routes because its tasks are late.
 */
final class CallerConnectionFailureTest {
    private static final Endpoint ENDPOINT = new Endpoint("127.0.0.1", 1);
    private static final FailureDomain DOMAIN = new FailureDomain("a");
    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

    private final FakeClocks clocks = new FakeClocks(1_000_000);
    private final EventLog log = new EventLog(clocks);

    @Test
    void answersRequestsWhoseRoutingFails() {
        EmbeddedChannel channel = new EmbeddedChannel();
        accept(channel, server(channel));

        send(channel, REQUEST + REQUEST);

        assertThat(output(channel))
                .containsPattern("(?s)HTTP/1.1 503.*internal-failure.*HTTP/1.1 503.*internal-failure");
        assertThat(channel.isOpen()).isTrue();
    }

    @Test
    void refusesRequestsByTimeAndNotByTask() {
        EmbeddedChannel channel = new EmbeddedChannel();
        CallerServer server = server(channel);
        accept(channel, server);
        server.beginStop(new StopSchedule(clocks.now, 8_000));
        clocks.now += 2_300;

        send(channel, REQUEST);

        assertThat(output(channel)).containsPattern("(?s)HTTP/1.1 503.*stopping");
    }

    private static void accept(EmbeddedChannel channel, CallerServer server) {
        channel.pipeline().addLast(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel accepted) {
                server.accept(accepted);
            }
        });
        channel.pipeline().fireChannelActive();
    }

    private static void send(EmbeddedChannel channel, String requests) {
        channel.writeInbound(Unpooled.copiedBuffer(requests, StandardCharsets.US_ASCII));
        channel.runPendingTasks();
    }

    private static String output(EmbeddedChannel channel) {
        StringBuilder output = new StringBuilder();
        for (ByteBuf bytes = channel.readOutbound(); bytes != null; bytes = channel.readOutbound()) {
            output.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
        }
        return output.toString();
    }

    private CallerServer server(EmbeddedChannel channel) {
        EntrySettings settings = new EntrySettings(
                "d", DOMAIN, ENDPOINT, ENDPOINT, Optional.empty(), ENDPOINT, 1, 1, 1, 1, 1, 1, true, 0, 0, 1, 1_200);
        TargetTable targetTable = new TargetTable();
        BusyUpstreams busyUpstreams = new BusyUpstreams();
        StatedRateLimits rateLimits = new StatedRateLimits();
        RateLimitShares rateLimitShares = new RateLimitShares(rateLimits, new SplittableRandom(1));
        ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
        SplittableRandom random = new SplittableRandom(1);
        CrashHistory crashHistory = new CrashHistory();
        UpstreamRegistry registry = new UpstreamRegistry(1_200);
        Dispatcher dispatcher = new Dispatcher(
                DOMAIN, targetTable, new UpstreamCapacity(busyUpstreams, rateLimitShares), serviceTimes, random);
        SlotShares shares =
                new SlotShares(new PoolArrivals(), dispatcher, targetTable, serviceTimes, new SplittableRandom(1));
        SlotAdmission slotAdmission =
                new SlotAdmission(new ActiveConfig(1_000), new Fleet(), shares, true, new DaemonMetrics());
        CallEnvironment environment = new CallEnvironment(
                settings,
                channel.eventLoop(),
                clocks,
                new FailingTranslator(),
                new ActiveConfig(1_000),
                registry,
                new Fleet(),
                targetTable,
                serviceTimes,
                busyUpstreams,
                dispatcher,
                slotAdmission,
                crashHistory,
                new RequestCrashes(crashHistory, new TargetSurvival(1_200), new DaemonId("d")),
                new PromptPartCrashes(crashHistory, new DaemonId("d")),
                new LeavingRecorder(clocks, registry, log, () -> {}),
                rateLimitShares,
                new RateLimitRecorder(clocks, rateLimits, rateLimitShares, log),
                null,
                new ModelLoads(),
                new HttpConnectionPool(channel.eventLoop(), clocks, peer -> {}),
                log,
                new DaemonMetrics());
        return new CallerServer(environment, new CallRouter(environment, random, false));
    }

    private static final class FailingTranslator implements CallTranslator {
        @Override
        public CallMetadata readCall(HttpHeaders headers) {
            throw new IllegalStateException("failure of the test");
        }

        @Override
        public void writeAttempt(HttpHeaders headers, AttemptMetadata attempt) {
            throw new UnsupportedOperationException("this test sends no attempt");
        }

        @Override
        public void writePassedOn(HttpHeaders headers, long remainingMillis, Optional<String> lastEventId) {
            headers.set("passed-on", remainingMillis);
        }

        @Override
        public ResponseMetadata readResponse(HttpResponse response) {
            throw new UnsupportedOperationException("this test receives no response");
        }

        @Override
        public String readinessPath() {
            return "/ready";
        }
    }
}
