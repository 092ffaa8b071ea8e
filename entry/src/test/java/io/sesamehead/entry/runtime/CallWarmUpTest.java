package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.sesamehead.coordination.dispatch.StatedRateLimit;
import io.sesamehead.entry.port.AttemptMetadata;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.ResponseMetadata;
import io.sesamehead.entry.port.SampleHeaders;
import io.sesamehead.entry.port.UpstreamOrderSender;
import io.sesamehead.entry.transport.ControlClient;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a warm-up that delays callers, never ends, or goes on although its calls fail. */
@Timeout(30)
final class CallWarmUpTest {
    private static final Endpoint ENDPOINT = new Endpoint("127.0.0.1", 1);
    private static final EntrySettings SETTINGS = new EntrySettings(
            "d",
            new FailureDomain("a"),
            ENDPOINT,
            ENDPOINT,
            Optional.empty(),
            ENDPOINT,
            8,
            5_000,
            2_000,
            8_000,
            4_000,
            2_000,
            true,
            0.2,
            10,
            10_000,
            1_200);

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final AtomicBoolean callsOpen = new AtomicBoolean();

    @AfterEach
    void stop() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    @Test
    void sendsItsCallsAndEnds() throws Exception {
        CallWarmUp warmUp = begin("key");

        awaitEnd(warmUp);

        assertThat(warmUp.calls()).isGreaterThan(10);
    }

    @Test
    void pausesWhileCallsOfCallersAreOpen() throws Exception {
        callsOpen.set(true);
        CallWarmUp warmUp = begin("key");
        Thread.sleep(500);
        assertThat(warmUp.calls()).isZero();

        callsOpen.set(false);

        awaitEnd(warmUp);
        assertThat(warmUp.calls()).isGreaterThan(10);
    }

    @Test
    void endsAfterSeveralFailures() throws Exception {
        CallWarmUp warmUp = begin("unknown key");

        awaitEnd(warmUp);

        assertThat(warmUp.calls()).isLessThan(10);
    }

    private CallWarmUp begin(String key) {
        Clocks clocks = new SystemClocks();
        Headers headers = new Headers(key);
        EntryDaemon unstarted = new EntryDaemon(SETTINGS, clocks, new SplittableRandom(1), new Adapters(headers), loop);
        CallWarmUp warmUp = new CallWarmUp(
                loop,
                clocks,
                unstarted.callPath(),
                SETTINGS.failureDomain(),
                headers,
                headers,
                callsOpen::get,
                new EventLog(clocks));
        loop.execute(warmUp::begin);
        return warmUp;
    }

    private static void awaitEnd(CallWarmUp warmUp) throws InterruptedException {
        while (!warmUp.hasEnded()) {
            Thread.sleep(20);
        }
    }

    private record Adapters(Headers headers) implements PlatformAdapters {
        @Override
        public ObjectStore store(ControlClient client, LongConsumer onEra) {
            return null;
        }

        @Override
        public UpstreamOrderSender orders(ControlClient client) {
            return null;
        }

        @Override
        public CallTranslator translator() {
            return headers;
        }

        @Override
        public SampleHeaders sampleHeaders() {
            return headers;
        }
    }

    /** Headers of a platform that has only ids, models and one key. */
    private record Headers(String key) implements CallTranslator, SampleHeaders {
        private static final String ID = "id";
        private static final String MODEL = "model";

        @Override
        public CallMetadata readCall(HttpHeaders headers) {
            return new CallMetadata(
                    headers.get(ID, ""),
                    OptionalLong.empty(),
                    Optional.of(key),
                    Optional.ofNullable(headers.get(MODEL)),
                    0,
                    ImmutableList.of(),
                    Optional.empty());
        }

        @Override
        public void writeCall(HttpHeaders headers, CallMetadata call) {
            headers.set(ID, call.requestId());
            headers.set(MODEL, call.model().orElseThrow());
        }

        @Override
        public void writeAttempt(HttpHeaders headers, AttemptMetadata attempt) {}

        @Override
        public void writePassedOn(HttpHeaders headers, long remainingMillis, Optional<String> lastEventId) {}

        @Override
        public void writeResponse(HttpHeaders headers, String requestId) {
            headers.set(ID, requestId);
        }

        @Override
        public ResponseMetadata readResponse(HttpResponse response) {
            return new ResponseMetadata(response.headers().get(ID, ""), true, false, false, new StatedRateLimit.None());
        }

        @Override
        public String readinessPath() {
            return "/ready";
        }
    }
}
