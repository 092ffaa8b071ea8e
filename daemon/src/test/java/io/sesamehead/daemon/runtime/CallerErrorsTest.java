package io.sesamehead.daemon.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.standin.service.ServiceSettings;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Compares whole error answers, so that neither a status nor a statement about execution changes unnoticed. */
final class CallerErrorsTest {
    private static final String PROMPT = "{\"prompt\":\"tin\",\"max_tokens\":4}";
    private final StringBuilder answers = new StringBuilder();

    private void add(String title, CallFixture daemon, HttpRequest.Builder request) throws Exception {
        add(title, daemon.send(request.setHeader("X-Request-Id", "r-" + title.replace(' ', '-'))));
    }

    private void add(String title, HttpResponse<String> response) {
        answers.append("== ").append(title).append('\n').append(response.statusCode());
        answers.append(' ').append(response.headers().firstValue("Content-Type").orElse("-"));
        boolean retry = response.headers().firstValue("Retry-After").isPresent();
        answers.append(retry ? " with" : " without").append(" Retry-After\n");
        answers.append(response.body().replaceAll("127\\.0\\.0\\.1:\\d+", "ADDRESS"))
                .append("\n\n");
    }

    @Test
    void requestsThatAreNotAccepted() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(0)) {
            add("bad json", daemon, daemon.completion("{\"prompt\":"));
            add("missing prompt", daemon, daemon.completion("{\"max_tokens\":4}"));
            add("max tokens out of range", daemon, daemon.completion("{\"prompt\":\"a\",\"max_tokens\":0}"));
            add("deadline out of range", daemon, daemon.completion(PROMPT).header("X-Deadline-Millis", "600001"));
            add("priority out of range", daemon, daemon.completion(PROMPT).header("X-Priority", "10"));
            add("flag misspelt", daemon, daemon.completion(PROMPT).header("X-Non-Idempotent", "yes"));
            add("key too long", daemon, daemon.order("{}").header("Idempotency-Key", "k".repeat(129)));
            add("account twice", daemon, daemon.order("{}").header("X-Client-Account", "shop-2"));
            add("missing account", daemon, daemon.order("{}").setHeader("X-Client-Account", " "));
            add(
                    "unknown service",
                    daemon,
                    daemon.to("/v1/services/none/calls/a").GET());
            add(
                    "completion of a plain service",
                    daemon,
                    daemon.to("/v1/services/orders/completions").POST(HttpRequest.BodyPublishers.ofString(PROMPT)));
            add("unknown path", daemon.send(daemon.to("/v2/none").GET()));
            add(
                    "unknown method",
                    daemon.send(daemon.to("/v1/services/orders/calls/a").DELETE()));
            add("body too large", daemon, daemon.order("x".repeat(1024 * 1024 + 1)));
            add("no group", daemon, daemon.completion(PROMPT));
            daemon.calls.stopAccepting();
            add("shutting down", daemon, daemon.completion(PROMPT));
            assertThat(daemon.calls.runningCalls()).isZero();
            Approvals.verify(answers);
        }
    }

    /** Guards against an internal error for a path that the server accepts and the upstream's client does not. */
    @Test
    void rejectsInvalidUri() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(0);
                Socket caller = new Socket(CallFixture.HOST, daemon.callerPort())) {
            String request =
                    "GET /v1/services/orders/calls/a?b=|%zz HTTP/1.1\r\nHost: a\r\nX-Client-Account: shop-1\r\nConnection: close\r\n\r\n";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));

            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(answer).startsWith("HTTP/1.1 404").contains("urn:sesamehead:error:unknown-path");
        }
    }

    @Test
    void callsToPlainService() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(0)) {
            daemon.faults(daemon.service.address(), "{\"refuse\":1}");
            add("upstream refused", daemon, daemon.order("{}"));
            daemon.faults(daemon.service.address(), "{\"loseAnswers\":1}");
            add("upstream lost", daemon, daemon.order("{}"));
            daemon.faults(daemon.service.address(), "{\"loseAnswers\":1}");
            add("upstream lost with key", daemon, daemon.order("{}").header("Idempotency-Key", "k1"));
            add("claimed elsewhere", daemon, daemon.order("{}").header("Idempotency-Key", "k1"));
            add("key reused", daemon, daemon.order("{\"n\":2}").header("Idempotency-Key", "k1"));
            daemon.faults(daemon.platform.address(), "{\"down\":true}");
            add("store unavailable", daemon, daemon.order("{}").header("Idempotency-Key", "k2"));
            daemon.faults(daemon.service.address(), "{\"slowMillis\":2000}");
            add("deadline during run", daemon, daemon.order("{}").header("X-Deadline-Millis", "100"));
            daemon.service.close();
            add("nothing listens", daemon, daemon.order("{}"));
            assertThat(daemon.calls.runningCalls()).isZero();
            assertThat(daemon.calls.openCalls()).isZero();
            Approvals.verify(answers);
        }
    }

    @Test
    void overloadAndQuarantine() throws Exception {
        try (CallFixture daemon =
                new CallFixture(1, ServiceSettings.at(CallFixture.HOST, 0), "concurrent-calls = 1\nqueue-length = 0")) {
            CompletableFuture<HttpResponse<String>> first = daemon.http.sendAsync(
                    daemon.completion("{\"prompt\":\"long\",\"max_tokens\":100}")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            CallFixture.await(() -> daemon.calls.runningCalls() == 1);
            add("overloaded", daemon, daemon.completion(PROMPT));
            assertThat(first.join().statusCode()).isEqualTo(200);
            String path = "/v1/services/assistant/completions";
            Fingerprint fingerprint = Fingerprint.of("POST", path, PROMPT.getBytes(StandardCharsets.UTF_8));
            daemon.calls.suspects().mergeCrashCount(fingerprint, 2, daemon.clock.millis());
            add("quarantined", daemon, daemon.completion(PROMPT));
            assertThat(daemon.calls.runningCalls()).isZero();
            Approvals.verify(answers);
        }
    }
}
