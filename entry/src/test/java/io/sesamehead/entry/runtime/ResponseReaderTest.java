package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.sesamehead.coordination.buffer.BufferAccount;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.coordination.dispatch.StatedRateLimit;
import io.sesamehead.entry.port.AttemptMetadata;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.ResponseMetadata;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against forwarding responses of other calls, unsealed successes and unconfirmed refusals to a caller. */
final class ResponseReaderTest {
    private static final String REQUEST_ID = "try-1";
    private static final long MEMORY_BYTES = 100_000;

    private final RecordingListener listener = new RecordingListener();

    private ResponseReader reader(CallKind kind) {
        return reader(kind, false);
    }

    private ResponseReader reader(CallKind kind, boolean resumed) {
        ResponseBuffer body = new ResponseBuffer.Pool(new BufferAccount(MEMORY_BYTES)).open("upstream", () -> {});
        return new ResponseReader(new TestTranslator(), REQUEST_ID, kind, resumed, body, listener);
    }

    private ResponseReader resumedStreamReader() {
        return reader(CallKind.STREAM, true);
    }

    private static HttpResponse response(int status, String... headers) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        for (int i = 0; i < headers.length; i += 2) {
            head.headers().set(headers[i], headers[i + 1]);
        }
        return head;
    }

    private static void deliver(ResponseReader reader, HttpResponse head, String body) {
        reader.onHead(head);
        reader.onContent(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        reader.onEnd();
    }

    @Test
    void skipsResponseToEarlierCall() {
        ResponseReader reader = reader(CallKind.SAFE);

        assertThat(reader.accepts(response(200, "id", "try-0", "seal", "s"), false))
                .isFalse();
        assertThat(reader.accepts(response(200, "id", REQUEST_ID, "seal", "s"), false))
                .isTrue();
    }

    @Test
    void acceptsResponseWithoutIdOnlyOnConnectionOfThisCallAlone() {
        ResponseReader reader = reader(CallKind.UNSAFE);

        assertThat(reader.accepts(response(503, "not-run", "1"), false)).isFalse();
        assertThat(reader.accepts(response(503, "not-run", "1"), true)).isTrue();
        assertThat(reader.accepts(response(503, "id", "try-0", "not-run", "1"), true))
                .isFalse();
    }

    /** Guards against waiting until the deadline for a peer that has sent an error of its own. */
    @Test
    void acceptsPeersOwnErrorOnReusedConnection() {
        ResponseBuffer body = new ResponseBuffer.Pool(new BufferAccount(MEMORY_BYTES)).open("upstream", () -> {});
        ResponseReader reader = new ResponseReader(
                new PeerTranslator(new TestTranslator()), REQUEST_ID, CallKind.UNSAFE, false, body, listener);

        assertThat(reader.accepts(response(502), false)).isTrue();
        assertThat(reader.accepts(response(200, "id", "try-0", "seal", "s"), false))
                .isFalse();
    }

    @Test
    void ignoresStatementsInResponsesToOtherCalls() {
        ResponseReader reader = reader(CallKind.UNSAFE);
        reader.accepts(response(503, "id", "try-0", "leaving", "1"), false);
        reader.accepts(response(503, "leaving", "1"), false);

        assertThat(listener.events).isEmpty();

        reader.accepts(response(200, "id", REQUEST_ID, "leaving", "1"), false);

        assertThat(listener.events).containsExactly("leaving");
    }

    @Test
    void deliversVerifiedResponse() {
        deliver(reader(CallKind.SAFE), response(200, "id", REQUEST_ID, "seal", "s"), "stock");

        assertThat(listener.events).containsExactly("answered 200 stock");
    }

    @Test
    void failsOnUnsealedSuccess() {
        deliver(reader(CallKind.UNSAFE), response(200, "id", REQUEST_ID), "stock");
        deliver(reader(CallKind.STREAM), response(200, "id", REQUEST_ID), "id: 1\n\n");

        assertThat(listener.events)
                .containsExactly(
                        "failed true unverified upstream response", "failed true unverified upstream response");
    }

    @Test
    void failsOnEncodedSuccessOrMissingRequestId() {
        deliver(reader(CallKind.SAFE), response(200, "id", REQUEST_ID, "seal", "s", "content-encoding", "gzip"), "x");
        deliver(reader(CallKind.SAFE), response(200, "seal", "s"), "x");

        assertThat(listener.events).hasSize(2).allMatch(event -> event.startsWith("failed true"));
    }

    @Test
    void failsOnUnknownTransferCoding() {
        for (String coding : List.of("chunk", "gzip, chunked", "")) {
            deliver(
                    reader(CallKind.SAFE),
                    response(200, "id", REQUEST_ID, "seal", "s", "transfer-encoding", coding),
                    "x");
        }

        assertThat(listener.events).hasSize(3).allMatch(event -> event.startsWith("failed true"));
    }

    @Test
    void reportsNotRunOnlyWhenUpstreamStatesIt() {
        deliver(reader(CallKind.UNSAFE), response(503, "id", REQUEST_ID, "not-run", "1"), "");
        deliver(reader(CallKind.UNSAFE), response(503, "id", REQUEST_ID), "");
        deliver(reader(CallKind.UNSAFE), response(429, "id", REQUEST_ID), "");

        assertThat(listener.events)
                .containsExactly(
                        "notRun 503",
                        "failed true unverified upstream response",
                        "failed true unverified upstream response");
    }

    @Test
    void forwardsUpstreamError() {
        deliver(reader(CallKind.UNSAFE), response(500, "id", REQUEST_ID, "seal", "s"), "broken");

        assertThat(listener.events).containsExactly("answered 500 broken");
    }

    @Test
    void reportsFailureOfTruncatedStream() {
        ResponseReader reader = reader(CallKind.STREAM);
        reader.onHead(response(200, "id", REQUEST_ID, "seal", "s"));
        reader.onContent(Unpooled.copiedBuffer("id: 1\n\n", StandardCharsets.UTF_8));
        reader.onFailure(true, "reset");

        assertThat(listener.events).containsExactly("streaming", "data id: 1\n\n", "failed true reset");
    }

    /** An upstream that crashes between the head and the first event leaves an empty stream that looks complete. */
    @Test
    void treatsUnframedStreamWithoutDataAsLost() {
        ResponseReader reader = reader(CallKind.STREAM);
        reader.onHead(response(200, "id", REQUEST_ID, "seal", "s"));
        reader.onEnd();

        assertThat(listener.events).containsExactly("streaming", "failed true stream ended before the first event");
    }

    @Test
    void treatsResumedStreamWithoutEventsAsLost() {
        ResponseReader reader = resumedStreamReader();
        reader.onHead(response(
                200, "id", REQUEST_ID, "seal", "s", "content-type", "text/event-stream", "content-length", "0"));
        reader.onEnd();

        assertThat(listener.events).containsExactly("streaming", "failed true stream ended before the first event");
    }

    @Test
    void doesNotResumeStreamWithAnotherKindOfResponse() {
        deliver(resumedStreamReader(), response(200, "id", REQUEST_ID, "seal", "s"), "id: 3\n\n");
        deliver(
                resumedStreamReader(),
                response(200, "id", REQUEST_ID, "seal", "s", "content-type", "application/json"),
                "id: 3\n\n");
        deliver(
                resumedStreamReader(),
                response(206, "id", REQUEST_ID, "seal", "s", "content-type", "text/event-stream"),
                "id: 3\n\n");

        assertThat(listener.events).hasSize(3).allMatch(event -> event.startsWith("answered "));

        listener.events.clear();
        deliver(
                resumedStreamReader(),
                response(200, "id", REQUEST_ID, "seal", "s", "content-type", "text/event-stream; charset=utf-8"),
                "id: 3\n\n");

        assertThat(listener.events).contains("streaming", "data id: 3\n\n");
    }

    @Test
    void tellsFramedEndFromEndOfConnection() {
        deliver(reader(CallKind.STREAM), response(200, "id", REQUEST_ID, "seal", "s"), "id: 1\n\n");
        deliver(
                reader(CallKind.STREAM),
                response(200, "id", REQUEST_ID, "seal", "s", "transfer-encoding", "chunked"),
                "id: 1\n\n");

        assertThat(listener.events).contains("ended with its connection").endsWith("ended");
    }

    /** Guards against reading a body that is known to be too large, and against one that exhausts the memory. */
    @Test
    void failsBodyThatExceedsStatedLengthOrMemory() {
        String length = Long.toString(ResponseBuffer.MAX_BODY_BYTES + 1L);
        ResponseReader stated = reader(CallKind.SAFE);
        stated.onHead(response(200, "id", REQUEST_ID, "seal", "s", "content-length", length));
        stated.onContent(Unpooled.wrappedBuffer(new byte[1]));
        assertThat(listener.events).containsExactly("oversized");

        ResponseReader unstated = reader(CallKind.SAFE);
        unstated.onHead(response(200, "id", REQUEST_ID, "seal", "s"));
        for (int i = 0; i < 4; i++) {
            unstated.onContent(Unpooled.wrappedBuffer(new byte[(int) MEMORY_BYTES / 5]));
        }
        assertThat(listener.events).contains("oversized", "oversized");
    }

    private static final class RecordingListener implements AttemptListener {
        private final List<String> events = new ArrayList<>();

        @Override
        public void onResponseHead(HttpResponse head, ResponseMetadata facts) {
            if (facts.leaving()) {
                events.add("leaving");
            }
        }

        @Override
        public boolean onStreamStart(HttpResponse head) {
            events.add("streaming");
            return true;
        }

        @Override
        public void onStreamData(byte[] bytes) {
            events.add("data " + new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void onReadComplete() {
            events.add("read");
        }

        @Override
        public void onStreamEnd(boolean framed) {
            events.add(framed ? "ended" : "ended with its connection");
        }

        @Override
        public void onResponse(HttpResponse head, byte[] body) {
            events.add("answered " + head.status().code() + " " + new String(body, StandardCharsets.UTF_8));
        }

        @Override
        public void onNotRun(HttpResponse head) {
            events.add("notRun " + head.status().code());
        }

        @Override
        public void onFaultyResponse(String reason) {
            onFailure(true, reason);
        }

        @Override
        public void onOversizedResponse(String reason) {
            events.add("oversized");
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            events.add("failed " + sent + " " + reason);
        }
    }

    private static final class TestTranslator implements CallTranslator {
        @Override
        public CallMetadata readCall(HttpHeaders headers) {
            return new CallMetadata(
                    REQUEST_ID,
                    OptionalLong.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    0,
                    ImmutableList.of(),
                    Optional.empty());
        }

        @Override
        public void writeAttempt(HttpHeaders headers, AttemptMetadata attempt) {
            headers.set("instance", attempt.instance().value());
        }

        @Override
        public void writePassedOn(HttpHeaders headers, long remainingMillis, Optional<String> lastEventId) {
            headers.set("passed-on", remainingMillis);
        }

        @Override
        public ResponseMetadata readResponse(HttpResponse answer) {
            HttpHeaders headers = answer.headers();
            return new ResponseMetadata(
                    headers.get("id", ""),
                    headers.contains("seal"),
                    headers.contains("not-run"),
                    headers.contains("leaving"),
                    new StatedRateLimit.None());
        }

        @Override
        public String readinessPath() {
            return "/ready";
        }
    }
}
