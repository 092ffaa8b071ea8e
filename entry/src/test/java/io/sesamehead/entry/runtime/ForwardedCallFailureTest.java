package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.sesamehead.coordination.admission.PoolArrivals;
import io.sesamehead.coordination.admission.SlotShares;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.catalog.Backend;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.coordination.catalog.CallLimits;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.ServiceProfile;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.dispatch.BusyUpstreams;
import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.Dispatcher;
import io.sesamehead.coordination.dispatch.PromptPartCrashes;
import io.sesamehead.coordination.dispatch.RateLimitShares;
import io.sesamehead.coordination.dispatch.RequestCrashes;
import io.sesamehead.coordination.dispatch.ServiceTimeEstimator;
import io.sesamehead.coordination.dispatch.StatedRateLimit;
import io.sesamehead.coordination.dispatch.StatedRateLimits;
import io.sesamehead.coordination.dispatch.TargetSurvival;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.dispatch.UpstreamCapacity;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.AttemptMetadata;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.port.ResponseMetadata;
import io.sesamehead.entry.transport.HttpConnectionPool;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.Region;
import io.sesamehead.state.ServiceName;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against calls and attempts that stay open because an exception occurred in a callback or in the answer. */
@Timeout(30)
final class ForwardedCallFailureTest {
    private static final Endpoint ENDPOINT = new Endpoint("127.0.0.1", 1);
    private static final FailureDomain DOMAIN = new FailureDomain("a");
    private static final ServiceName SERVICE = new ServiceName("s");
    /** Between the times after which the upstream counts as silent and as lost, in milliseconds. */
    private static final long DEADLINE_MILLIS = 1_700;

    private static final int REACTION_MILLIS = 1_000;

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BlockingQueue<Integer> answers = new LinkedBlockingQueue<>();
    private ServerSocket upstream;
    private CallEnvironment environment;

    @BeforeEach
    void start() throws IOException {
        upstream = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        environment = environment(new Endpoint("127.0.0.1", upstream.getLocalPort()));
    }

    @AfterEach
    void stop() throws IOException {
        upstream.close();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void callIsAnsweredAtOnceWhenHandlingOfResponseFails() throws Exception {
        start(1);
        try (Socket socket = upstream.accept()) {
            socket.getInputStream().read(new byte[1_024]);
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));

            assertThat(answers.poll(REACTION_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(502);
            assertThat(environment.crashHistory().crashCount(subject(), 0)).isZero();
        }
    }

    @Test
    void attemptsEndWhenAnswerAtDeadlineFails() throws Exception {
        start(Integer.MAX_VALUE);
        try (Socket socket = upstream.accept()) {
            socket.setSoTimeout((int) DEADLINE_MILLIS + REACTION_MILLIS);

            assertThat(socket.getInputStream().readAllBytes()).isNotEmpty();
        }
        assertThat(environment.openCalls()).isZero();
    }

    @Test
    void callIsAnsweredWhenItsEndInStopFails() throws Exception {
        start(1);
        try (Socket socket = upstream.accept()) {
            socket.getInputStream().read(new byte[1_024]);
            loop.execute(environment::endCallsForStop);

            assertThat(answers.poll(REACTION_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(502);
        }
    }

    /** Guards against a call that is sent outside of its regions, or waits, when no upstream in them serves. */
    @Test
    void callWithoutUpstreamInItsRegionsIsRefusedAtOnceAsNotRun() throws Exception {
        start(0, Set.of(new Region("north")));

        assertThat(answers.poll(REACTION_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(503);
        upstream.setSoTimeout(50);
        assertThatThrownBy(upstream::accept).isInstanceOf(SocketTimeoutException.class);
    }

    private static CrashSubject subject() {
        return CrashSubject.ofCall("/x", Optional.empty(), new byte[0]);
    }

    /** Starts a call the first answers of which fail. */
    private void start(int failures) {
        start(failures, Set.of());
    }

    private void start(int failures, Set<Region> allowedRegions) {
        Route route = new Route(
                "r",
                "h",
                "/",
                CallKind.UNSAFE,
                DEADLINE_MILLIS,
                100,
                5,
                List.of(new Backend(SERVICE, 1)),
                1,
                true,
                false,
                allowedRegions);
        CallMetadata facts = new CallMetadata(
                "id",
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                ImmutableList.of(),
                Optional.empty());
        CallRequest request = new CallRequest(
                HttpMethod.GET,
                "/x",
                new DefaultHttpHeaders(),
                new byte[0],
                false,
                environment.clocks().steadyMillis());
        loop.execute(() -> new ForwardedCall(
                        environment,
                        request,
                        subject(),
                        ImmutableList.of(),
                        facts,
                        route,
                        Optional.empty(),
                        SERVICE,
                        new FailingWriter(failures),
                        false)
                .start());
    }

    private CallEnvironment environment(Endpoint endpoint) {
        EntrySettings settings = new EntrySettings(
                "d", DOMAIN, ENDPOINT, ENDPOINT, Optional.empty(), ENDPOINT, 1, 1, 1, 1, 1, 1, true, 0, 0, 1, 1);
        Clocks clocks = new SystemClocks();
        EventLog log = new EventLog(clocks);
        TargetTable targetTable = new TargetTable();
        BusyUpstreams busyUpstreams = new BusyUpstreams();
        StatedRateLimits rateLimits = new StatedRateLimits();
        RateLimitShares rateLimitShares = new RateLimitShares(rateLimits, new SplittableRandom(1));
        ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
        CrashHistory crashHistory = new CrashHistory();
        UpstreamRegistry registry = new UpstreamRegistry(1);
        Fleet fleet = new Fleet();
        UpstreamEntry entry = new UpstreamEntry(
                new InstanceId("u"),
                1,
                0,
                SERVICE,
                endpoint,
                DOMAIN,
                1,
                false,
                "",
                List.of(),
                List.of(),
                Optional.empty());
        ServiceProfile service = new ServiceProfile(SERVICE, 0, Optional.empty());
        fleet.update(
                List.of(entry),
                new ServingConfig(1, List.of(), Map.of(SERVICE, service), CallLimits.DEFAULT, false, Map.of()));
        Dispatcher dispatcher = new Dispatcher(
                DOMAIN,
                targetTable,
                new UpstreamCapacity(busyUpstreams, rateLimitShares),
                serviceTimes,
                new SplittableRandom(1));
        SlotShares shares =
                new SlotShares(new PoolArrivals(), dispatcher, targetTable, serviceTimes, new SplittableRandom(1));
        SlotAdmission slotAdmission =
                new SlotAdmission(new ActiveConfig(1_000), fleet, shares, true, new DaemonMetrics());
        return new CallEnvironment(
                settings,
                loop,
                clocks,
                new TestTranslator(),
                new ActiveConfig(1_000),
                registry,
                fleet,
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
                new HttpConnectionPool(loop, clocks, peer -> {}),
                log,
                new DaemonMetrics());
    }

    /** Throws exceptions instead of sending the first answers. */
    private final class FailingWriter implements ResponseWriter {
        private int failures;

        private FailingWriter(int failures) {
            this.failures = failures;
        }

        @Override
        public void send(HttpResponseStatus status, HttpHeaders headers, byte[] body) {
            if (failures > 0) {
                failures--;
                throw new IllegalStateException("failure of the test");
            }
            answers.add(status.code());
        }

        @Override
        public void begin(HttpResponseStatus status, HttpHeaders headers) {}

        @Override
        public boolean write(byte[] bytes) {
            return true;
        }

        @Override
        public void flush() {}

        @Override
        public void end() {}

        @Override
        public void abort() {}
    }

    private static final class TestTranslator implements CallTranslator {
        @Override
        public CallMetadata readCall(HttpHeaders headers) {
            throw new UnsupportedOperationException("this test routes no call");
        }

        @Override
        public void writeAttempt(HttpHeaders headers, AttemptMetadata attempt) {}

        @Override
        public void writePassedOn(HttpHeaders headers, long remainingMillis, Optional<String> lastEventId) {
            headers.set("passed-on", remainingMillis);
        }

        @Override
        public ResponseMetadata readResponse(HttpResponse response) {
            return new ResponseMetadata("id", true, false, false, new StatedRateLimit.None());
        }

        @Override
        public String readinessPath() {
            return "/ready";
        }
    }
}
