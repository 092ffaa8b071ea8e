package io.sesamehead.daemon.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.standin.engine.EngineStandIn;
import io.sesamehead.standin.engine.Execution;
import io.sesamehead.standin.engine.TokenSource;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class CompletionCallsTest {
    private static final int TOKENS = 40;

    /** Guards against events that are lost, reordered or added between the engine and the caller. */
    @Test
    void streamsWholeAnswer() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(2)) {
            HttpResponse<String> response =
                    daemon.send(daemon.completion("{\"prompt\":\"tin 1\",\"max_tokens\":40,\"stream\":true}"));

            assertThat(response.headers().firstValue("Content-Type").orElse("")).startsWith("text/event-stream");
            assertThat(response.body()).isEqualTo(events("tin 1"));
        }
    }

    /** Guards against a torn answer when the engine that runs the stream dies: another group must continue it. */
    @Test
    void resumesOnAnotherGroup() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(2)) {
            CompletableFuture<HttpResponse<String>> answer = daemon.http.sendAsync(
                    daemon.completion("{\"prompt\":\"tin 2\",\"max_tokens\":40,\"stream\":true}")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            CallFixture.await(() -> daemon.engines.stream().anyMatch(CompletionCallsTest::hasSentTokens));
            EngineStandIn running = daemon.engines.stream()
                    .filter(CompletionCallsTest::hasSentTokens)
                    .findFirst()
                    .orElseThrow();
            running.crash();

            assertThat(answer.get(10, TimeUnit.SECONDS).body()).isEqualTo(events("tin 2"));
            int runs = daemon.engines.stream()
                    .mapToInt(engine -> engine.executions().size())
                    .sum();
            assertThat(runs).isEqualTo(2);
        }
    }

    /** Guards against work for a caller that has left, and against a slot that is never given back. */
    @Test
    void cancelsWhenCallerHangsUp() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(1)) {
            String body = "{\"prompt\":\"tin 3\",\"max_tokens\":60000,\"stream\":true}";
            String head = "POST /v1/services/assistant/completions HTTP/1.1\r\nHost: a\r\nX-Client-Account: shop-1\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n";
            try (Socket caller = new Socket(CallFixture.HOST, daemon.callerPort())) {
                caller.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
                assertThat(caller.getInputStream().readNBytes(300)).hasSize(300);
            }

            CallFixture.await(() -> daemon.calls.openCalls() == 0);
            assertThat(daemon.calls.runningCalls()).isZero();
            assertThat(daemon.admin("/status").toString()).contains("\"client-gone\":1");
            int sent = daemon.engines.get(0).executions().get(0).tokensSent();
            assertThat(sent).isLessThan(60_000);
        }
    }

    /** Guards against a late cancellation that ends another request with the same identifier. */
    @Test
    void usesUniqueEngineRequestIds() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(1)) {
            String body = "{\"prompt\":\"tin 8\",\"max_tokens\":2}";
            daemon.send(daemon.completion(body).header("X-Request-Id", "same"));
            daemon.send(daemon.completion(body).header("X-Request-Id", "same"));

            assertThat(daemon.engines.get(0).executions())
                    .extracting(Execution::requestId)
                    .hasSize(2)
                    .doesNotHaveDuplicates();
        }
    }

    /** Guards against a second execution, or another answer, of a completion that is repeated with its key. */
    @Test
    void replaysKeyedCompletion() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(2)) {
            String body = "{\"prompt\":\"tin 4\",\"max_tokens\":40,\"stream\":true}";
            HttpResponse<String> first = daemon.send(daemon.completion(body).header("Idempotency-Key", "a b"));
            HttpResponse<String> second = daemon.send(daemon.completion(body).header("Idempotency-Key", "a b"));

            assertThat(first.body()).isEqualTo(events("tin 4"));
            assertThat(second.body()).isEqualTo(events("tin 4"));
            int runs = daemon.engines.stream()
                    .mapToInt(engine -> engine.executions().size())
                    .sum();
            assertThat(runs).isEqualTo(1);
        }
    }

    /** Guards against a status that misses the groups or the burn of a service, and a JSON answer that is not whole. */
    @Test
    void answersWithoutStreamAndCounts() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(1)) {
            JsonNode answer = Json.parse(daemon.send(daemon.completion("{\"prompt\":\"tin 5\",\"max_tokens\":3}"))
                    .body());

            String text = TokenSource.token("tin 5", 0) + TokenSource.token("tin 5", 1) + TokenSource.token("tin 5", 2);
            assertThat(answer.path("text").asText()).isEqualTo(text);
            JsonNode status = daemon.admin("/status");
            assertThat(status.at("/groups/0/serving").asBoolean()).isTrue();
            assertThat(status.at("/burn/0/whole").asInt()).isEqualTo(1);
            assertThat(daemon.admin("/metrics").path("counters").has("calls.assistant.shop-1.whole"))
                    .isTrue();
        }
    }

    /** Guards against a stream that ends without a final event when no group can go on with it. */
    @Test
    void tornStreamEndsWithErrorEvent() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(1)) {
            CompletableFuture<HttpResponse<String>> answer = daemon.http.sendAsync(
                    daemon.completion("{\"prompt\":\"tin 6\",\"max_tokens\":4000,\"stream\":true}")
                            .header("X-Deadline-Millis", "1000")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            CallFixture.await(() -> hasSentTokens(daemon.engines.get(0)));
            daemon.engines.get(0).crash();

            String body = answer.get(10, TimeUnit.SECONDS).body();
            String last = body.substring(body.lastIndexOf("event: "));
            assertThat(last).startsWith("event: error").contains("\"run\":\"may-have-run\"");
            assertThat(daemon.calls.runningCalls()).isZero();
        }
    }

    /** Guards against a request that crashes every engine in turn, and against innocent requests that suffer for it. */
    @Test
    void crashingRequestStopsAfterTwoGroups() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(4)) {
            for (EngineStandIn engine : daemon.engines) {
                daemon.faults(engine.address(), "{\"crashOnPrompt\":\"poison\"}");
            }
            List<CompletableFuture<HttpResponse<String>>> innocent = new ArrayList<>();
            for (int index = 0; index < 8; index++) {
                innocent.add(daemon.http.sendAsync(
                        daemon.completion("{\"prompt\":\"tin " + index + "\",\"max_tokens\":40,\"stream\":true}")
                                .build(),
                        HttpResponse.BodyHandlers.ofString()));
            }
            String poison = "{\"prompt\":\"poison\",\"max_tokens\":4}";
            List<Integer> statuses = new ArrayList<>();
            for (int index = 0; index < 3; index++) {
                statuses.add(daemon.send(daemon.completion(poison)).statusCode());
            }

            assertThat(statuses).containsExactly(502, 422, 422);
            for (int index = 0; index < innocent.size(); index++) {
                assertThat(innocent.get(index).get(20, TimeUnit.SECONDS).body()).isEqualTo(events("tin " + index));
            }
            long crashed = daemon.engines.stream()
                    .filter(engine -> !daemon.listens(engine))
                    .count();
            assertThat(crashed).isEqualTo(2);
        }
    }

    private static boolean hasSentTokens(EngineStandIn engine) {
        return engine.executions().stream().anyMatch(run -> run.tokensSent() > 2);
    }

    static String events(String prompt) {
        StringBuilder expected = new StringBuilder();
        for (int index = 0; index < TOKENS; index++) {
            String data = Json.object()
                    .put("index", index)
                    .put("text", TokenSource.token(prompt, index))
                    .toString();
            expected.append("event: token\nid: ")
                    .append(index)
                    .append("\ndata: ")
                    .append(data)
                    .append("\n\n");
        }
        return expected.append("event: end\ndata: {\"count\":40,\"finish\":\"stop\"}\n\n")
                .toString();
    }
}
