package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.entry.port.AnswerFacts;
import io.sesamehead.entry.port.AttemptFacts;
import io.sesamehead.entry.port.CallFacts;
import io.sesamehead.entry.port.CallTranslator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against answers of other calls, unvouched successes and untrue refusals that reach a caller. */
final class ResponseReaderTest {
    private static final String ID = "try-1";

    private final Recorder sink = new Recorder();

    private ResponseReader reader(CallKind kind) {
        return new ResponseReader(new TestTranslator(), ID, kind, sink);
    }

    private static HttpResponse answer(int status, String... headers) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        for (int i = 0; i < headers.length; i += 2) {
            head.headers().set(headers[i], headers[i + 1]);
        }
        return head;
    }

    private static void play(ResponseReader reader, HttpResponse head, String body) {
        reader.onHead(head);
        reader.onContent(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        reader.onEnd();
    }

    @Test
    void answerOfAnEarlierCallIsSkipped() {
        ResponseReader reader = reader(CallKind.SAFE);

        assertThat(reader.accepts(answer(200, "id", "try-0", "seal", "s"))).isFalse();
        assertThat(reader.accepts(answer(200, "id", ID, "seal", "s"))).isTrue();
    }

    @Test
    void vouchedAnswerIsDelivered() {
        play(reader(CallKind.SAFE), answer(200, "id", ID, "seal", "s"), "stock");

        assertThat(sink.events).containsExactly("answered 200 stock");
    }

    @Test
    void successWithoutTheUpstreamsMarkIsAFailure() {
        play(reader(CallKind.UNSAFE), answer(200, "id", ID), "stock");
        play(reader(CallKind.STREAM), answer(200, "id", ID), "id: 1\n\n");

        assertThat(sink.events)
                .containsExactly(
                        "failed true the upstream does not vouch for its answer",
                        "failed true the upstream does not vouch for its answer");
    }

    @Test
    void successInAnotherEncodingOrWithoutTheCallsNameIsAFailure() {
        play(reader(CallKind.SAFE), answer(200, "id", ID, "seal", "s", "content-encoding", "gzip"), "x");
        play(reader(CallKind.SAFE), answer(200, "seal", "s"), "x");

        assertThat(sink.events).hasSize(2).allMatch(event -> event.startsWith("failed true"));
    }

    @Test
    void refusalCountsAsNotRunOnlyByTheUpstreamsStatement() {
        play(reader(CallKind.UNSAFE), answer(503, "id", ID, "not-run", "1"), "");
        play(reader(CallKind.UNSAFE), answer(503, "id", ID), "");
        play(reader(CallKind.UNSAFE), answer(429, "id", ID), "");

        assertThat(sink.events)
                .containsExactly(
                        "notRun 503",
                        "failed true the upstream does not vouch for its answer",
                        "failed true the upstream does not vouch for its answer");
    }

    @Test
    void failureOfTheUpstreamIsPassedOn() {
        play(reader(CallKind.UNSAFE), answer(500, "id", ID, "seal", "s"), "broken");

        assertThat(sink.events).containsExactly("answered 500 broken");
    }

    @Test
    void streamThatBreaksOffHasNoEnd() {
        ResponseReader reader = reader(CallKind.STREAM);
        reader.onHead(answer(200, "id", ID, "seal", "s"));
        reader.onContent(Unpooled.copiedBuffer("id: 1\n\n", StandardCharsets.UTF_8));
        reader.onFailure(true, "reset");

        assertThat(sink.events).containsExactly("streaming", "data id: 1\n\n", "failed true reset");
    }

    private static final class Recorder implements AttemptListener {
        private final List<String> events = new ArrayList<>();

        @Override
        public void onResponseHead(HttpResponse head, AnswerFacts facts) {
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
        public void onStreamEnd() {
            events.add("ended");
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
        public void onFailure(boolean sent, String reason) {
            events.add("failed " + sent + " " + reason);
        }
    }

    private static final class TestTranslator implements CallTranslator {
        @Override
        public CallFacts readCall(HttpHeaders headers) {
            return new CallFacts(ID, OptionalLong.empty(), Optional.empty(), Optional.empty(), 0, Optional.empty());
        }

        @Override
        public void writeAttempt(HttpHeaders headers, AttemptFacts attempt) {
            headers.set("instance", attempt.instance().value());
        }

        @Override
        public AnswerFacts readAnswer(HttpResponse answer) {
            HttpHeaders headers = answer.headers();
            return new AnswerFacts(
                    headers.get("id", ""),
                    headers.contains("seal"),
                    headers.contains("not-run"),
                    headers.contains("leaving"));
        }

        @Override
        public String readinessPath() {
            return "/ready";
        }
    }
}
