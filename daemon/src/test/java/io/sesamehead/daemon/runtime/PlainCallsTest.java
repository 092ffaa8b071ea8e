package io.sesamehead.daemon.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.standin.service.ServiceSettings;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;

final class PlainCallsTest {
    private static int executions(CallFixture daemon) throws Exception {
        return daemon.get(daemon.service.address(), "/admin/executions")
                .path("total")
                .asInt();
    }

    /** Guards against a path, query or body that changes on its way to the service. */
    @Test
    void passesCallThrough() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(0)) {
            JsonNode answer = Json.parse(daemon.send(daemon.to("/v1/services/orders/calls/a/b%20c?d=e%2Ff")
                            .header("X-Request-Id", "r-1")
                            .GET())
                    .body());

            assertThat(answer.path("requestId").asText()).isEqualTo("r-1");
            assertThat(answer.path("path").asText()).startsWith("/a/b");
            assertThat(Json.parse(daemon.send(daemon.order("{\"n\":1}")).body())
                            .path("body")
                            .asText())
                    .isEqualTo("{\"n\":1}");
        }
    }

    /** Guards against a repeated key that runs twice, one after the other or at the same time. */
    @Test
    void runsKeyOnce() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(0)) {
            daemon.faults(daemon.service.address(), "{\"slowMillis\":100}");
            List<CompletableFuture<HttpResponse<String>>> repeats = new ArrayList<>();
            for (int index = 0; index < 8; index++) {
                repeats.add(daemon.http.sendAsync(
                        daemon.order("{}").header("Idempotency-Key", "k1").build(),
                        HttpResponse.BodyHandlers.ofString()));
            }
            String first = repeats.get(0).join().body();
            for (CompletableFuture<HttpResponse<String>> repeat : repeats) {
                assertThat(repeat.join().body()).isEqualTo(first);
            }
            assertThat(daemon.send(daemon.order("{}").header("Idempotency-Key", "k1"))
                            .body())
                    .isEqualTo(first);
            assertThat(executions(daemon)).isEqualTo(1);
        }
    }

    /** Guards against a claim whose lost answer leads to no dispatch, or to two. */
    @Test
    void resolvesLostAnswerOfClaim() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(0)) {
            daemon.faults(daemon.platform.address(), "{\"loseAnswers\":1}");
            HttpResponse<String> response = daemon.send(daemon.order("{}").header("Idempotency-Key", "k1"));

            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(executions(daemon)).isEqualTo(1);
        }
    }

    /** Guards against a key that stays blocked although its call was answered not-run. */
    @Test
    void freesKeyAfterNotRun() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(0)) {
            daemon.faults(daemon.service.address(), "{\"refuse\":1}");
            assertThat(daemon.send(daemon.order("{}").header("Idempotency-Key", "k1"))
                            .statusCode())
                    .isEqualTo(503);
            assertThat(daemon.send(daemon.order("{}").header("Idempotency-Key", "k1"))
                            .statusCode())
                    .isEqualTo(200);
            assertThat(executions(daemon)).isEqualTo(1);
        }
    }

    /** Guards against queued calls that never get their turn when a slot is freed. */
    @Test
    void queuedCallsRunInTurn() throws Exception {
        ServiceSettings settings = new ServiceSettings(CallFixture.HOST, 0, false, false, 20);
        try (CallFixture daemon = new CallFixture(0, settings, "concurrent-calls = 2\nqueue-length = 100")) {
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int index = 0; index < 20; index++) {
                answers.add(daemon.http.sendAsync(daemon.order("{}").build(), HttpResponse.BodyHandlers.ofString()));
            }
            assertThat(answers).allMatch(answer -> answer.join().statusCode() == 200);
            assertThat(daemon.calls.runningCalls()).isZero();
        }
    }

    /**
     * Guards against results that are kept for ever, and against the loss of a record that can still become a claim:
     * its deletion could hit the claim of a call that is running.
     */
    @Test
    void deletesOnlyOldResultsThatRan() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(0)) {
            daemon.send(daemon.order("{}").header("Idempotency-Key", "ran"));
            daemon.faults(daemon.service.address(), "{\"loseAnswers\":1}");
            daemon.send(daemon.order("{}").header("Idempotency-Key", "claimed"));
            daemon.faults(daemon.service.address(), "{\"refuse\":1}");
            daemon.send(daemon.order("{}").header("Idempotency-Key", "not-run"));
            daemon.holdLease();
            LongSupplier inTwoDays =
                    () -> System.currentTimeMillis() + Duration.ofDays(2).toMillis();

            new IdempotencyRecordCleaner(daemon.tables, daemon.platformClient, daemon.clock::millis, System::currentTimeMillis)
                    .run();
            assertThat(daemon.storedOrders()).isEqualTo(3);
            new IdempotencyRecordCleaner(daemon.tables, daemon.platformClient, daemon.clock::millis, inTwoDays).run();
            assertThat(daemon.storedOrders()).isEqualTo(2);
            assertThat(daemon.send(daemon.order("{}").header("Idempotency-Key", "claimed"))
                            .statusCode())
                    .isEqualTo(409);
        }
    }

    /** Guards against a growing number of store calls for each keyed call: the store's rate limit is shared. */
    @Test
    void keyedCallMakesThreeStoreCalls() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(0)) {
            daemon.send(daemon.order("{}").header("Idempotency-Key", "k1"));
            daemon.send(daemon.order("{}"));

            JsonNode counts = daemon.get(daemon.platform.address(), "/admin/counts");
            assertThat(counts.path("calls").toString()).isEqualTo("{\"create\":1,\"get\":1,\"update\":1}");
        }
    }

    /** Guards against new work for a service that reported that it is leaving. */
    @Test
    void leavingServiceGetsNoNewCalls() throws Exception {
        try (CallFixture daemon = CallFixture.withEngines(0)) {
            daemon.faults(daemon.service.address(), "{\"leaving\":true}");
            daemon.calls.refreshServices();

            assertThat(daemon.send(daemon.order("{}")).statusCode()).isEqualTo(503);
            assertThat(executions(daemon)).isZero();
        }
    }
}
