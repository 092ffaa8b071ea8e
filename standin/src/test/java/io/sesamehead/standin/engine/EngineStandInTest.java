package io.sesamehead.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.standin.Json;
import io.sesamehead.standin.TestClient;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineStandInTest {
    private static final int ENDLESS_TOKENS = 1_000_000;

    private final EngineStandIn head = engine("vm-1", true);
    private final EngineStandIn worker = engine("vm-2", false);
    private TestClient toHead;
    private TestClient toWorker;

    private static EngineStandIn engine(String vm, boolean checksFencing) {
        return new EngineStandIn(
                EngineSettings.at("127.0.0.1", 0, vm).withFencing(checksFencing).withLatencies(1, 1));
    }

    @BeforeEach
    void start() throws IOException {
        head.start();
        worker.start();
        toHead = new TestClient(head.address());
        toWorker = new TestClient(worker.address());
    }

    @AfterEach
    void stop() {
        head.close();
        worker.close();
    }

    private String order(String order, long epoch, int rank) {
        return "{\"order\":\"" + order + "\",\"orderId\":\"o\",\"epoch\":" + epoch
                + ",\"group\":\"g-1\",\"model\":\"m\",\"version\":\"1\",\"rank\":" + rank + ",\"members\":["
                + "{\"vm\":\"vm-1\",\"address\":\"127.0.0.1:" + head.address().getPort() + "\"},"
                + "{\"vm\":\"vm-2\",\"address\":\"127.0.0.1:" + worker.address().getPort() + "\"}]}";
    }

    private static String completion(String id, String prompt, int from, int max, long epoch) {
        return "{\"prompt\":\"" + prompt + "\",\"max_tokens\":" + max + ",\"request_id\":\"" + id
                + "\",\"group\":\"g-1\",\"epoch\":" + epoch + ",\"resume_from\":" + from + "}";
    }

    private void formGroup(long epoch) throws Exception {
        assertThat(toHead.send("POST", "/control/orders", order("load", epoch, 0))
                        .status())
                .isEqualTo(200);
        assertThat(toWorker.send("POST", "/control/orders", order("load", epoch, 1))
                        .status())
                .isEqualTo(200);
        TestClient.await(() -> status(toHead).path("state").asText().equals("ready"));
    }

    private static JsonNode status(TestClient client) throws Exception {
        return client.send("GET", "/control/status", "").body();
    }

    private static List<String> data(BufferedReader stream) throws IOException {
        List<String> data = new ArrayList<>();
        for (String line = stream.readLine(); line != null; line = stream.readLine()) {
            if (!line.isEmpty()) {
                data.add(line.substring("data: ".length()));
            }
        }
        return data;
    }

    private BufferedReader openEndlessStream(String id) throws Exception {
        BufferedReader stream = toHead.open("POST", "/v1/completions", completion(id, "p", 0, ENDLESS_TOKENS, 7));
        stream.readLine();
        return stream;
    }

    /** Guards against a resumed stream that does not continue the original one exactly. */
    @Test
    void streamsAndResumes() throws Exception {
        formGroup(7);
        try (BufferedReader stream = toHead.open("POST", "/v1/completions", completion("r", "hello", 2, 4, 7))) {
            assertThat(data(stream))
                    .containsExactly(
                            "{\"index\":2,\"text\":\"" + TokenSource.token("hello", 2) + "\"}",
                            "{\"index\":3,\"text\":\"" + TokenSource.token("hello", 3) + "\"}",
                            "{\"finish_reason\":\"stop\",\"count\":4}",
                            "[DONE]");
        }
        TestClient.await(() -> head.executions().getFirst().finished());
        Execution execution = head.executions().getFirst();
        assertThat(execution.firstIndex()).isEqualTo(2);
        assertThat(execution.tokensSent()).isEqualTo(2);
        assertThat(TokenSource.token("hello", 0)).isNotEqualTo(TokenSource.token("hello", 1));
    }

    /** Guards against completions that run on a worker, in a stale epoch or after a release. */
    @Test
    void rejectsCompletionForWrongEpochRoleOrState() throws Exception {
        formGroup(7);
        TestClient.Response old = toHead.send("POST", "/v1/completions", completion("r", "p", 0, 4, 6));
        assertThat(old.status()).isEqualTo(409);
        assertThat(old.body().path("run").asText()).isEqualTo("not-run");
        assertThat(toWorker.send("POST", "/v1/completions", completion("r", "p", 0, 4, 7))
                        .status())
                .isEqualTo(409);
        toHead.send("POST", "/control/orders", order("release", 8, 0));
        assertThat(toHead.send("POST", "/v1/completions", completion("r", "p", 0, 4, 7))
                        .status())
                .isEqualTo(409);
        assertThat(head.executions()).isEmpty();
    }

    /** Guards against stale orders that are accepted with fencing enabled, or rejected with fencing disabled. */
    @Test
    void checksFencingOnlyWhenEnabled() throws Exception {
        formGroup(7);
        assertThat(toHead.send("POST", "/control/orders", order("release", 6, 0))
                        .status())
                .isEqualTo(412);
        assertThat(status(toHead).path("group").asText()).isEqualTo("g-1");
        assertThat(toWorker.send("POST", "/control/orders", order("release", 6, 1))
                        .status())
                .isEqualTo(200);
        assertThat(status(toWorker).path("state").asText()).isEqualTo("idle");
        JsonNode orders =
                toHead.send("GET", "/admin/orders", "").body().path("orders").path(1);
        assertThat(orders.path("effect").asText()).isEqualTo("REFUSED");
        assertThat(orders.path("epoch").asInt()).isEqualTo(6);
    }

    /** Guards against a head that keeps serving after a member crashed and restarted outside the group. */
    @Test
    void failsStreamsWhenMemberCrashes() throws Exception {
        formGroup(7);
        String before = status(toWorker).path("incarnation").asText();
        try (BufferedReader stream = openEndlessStream("r")) {
            assertThatThrownBy(() -> toWorker.send("POST", "/admin/faults", "{\"crash\":true}"))
                    .isInstanceOf(IOException.class);
            assertThatThrownBy(() -> data(stream)).isInstanceOf(IOException.class);
        }
        assertThat(toHead.send("POST", "/v1/completions", completion("s", "p", 0, 4, 7))
                        .status())
                .isEqualTo(409);
        worker.start();
        toWorker.send("POST", "/control/orders", order("load", 7, 1));
        TestClient.await(() -> status(toHead).path("missing").asText().equals("vm-2 was restarted"));
        assertThat(status(toWorker).path("incarnation").asText()).isNotEqualTo(before);
        formGroup(8);
    }

    /** Guards against a head that ignores a paused member or stays unready after the pause. */
    @Test
    void becomesReadyAfterMemberPause() throws Exception {
        formGroup(7);
        try (BufferedReader stream = openEndlessStream("r")) {
            toWorker.send("POST", "/admin/faults", "{\"pauseMillis\":1500}");
            assertThatThrownBy(() -> data(stream)).isInstanceOf(IOException.class);
        }
        TestClient.await(() -> status(toHead).path("state").asText().equals("ready"));
    }

    /** Guards against a head that aborts in-flight streams because a member announced a planned shutdown. */
    @Test
    void treatsLeavingMemberAsPresent() throws Exception {
        formGroup(7);
        toWorker.send("POST", "/admin/faults", "{\"leaving\":true}");
        EngineOrder order = EngineOrder.parse(Json.parse(order("load", 7, 0).getBytes(StandardCharsets.UTF_8)));
        assertThat(new MemberProbe(Duration.ofSeconds(20)).findMissing(order)).isEmpty();
    }

    /** Guards against a crash-triggering prompt that leaves the engine running or its execution unrecorded. */
    @Test
    void crashesOnPrompt() throws Exception {
        formGroup(7);
        toHead.send("POST", "/admin/faults", "{\"crashOnPrompt\":\"poison\"}");
        assertThatThrownBy(() -> toHead.send("POST", "/v1/completions", completion("r", "a poison b", 0, 4, 7)))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> status(toHead)).isInstanceOf(IOException.class);
        assertThat(head.executions()).hasSize(1);
        head.start();
        assertThat(status(toHead).path("state").asText()).isEqualTo("idle");
    }

    /** Guards against a cancelled request that keeps its slot. */
    @Test
    void cancelsRequest() throws Exception {
        formGroup(7);
        try (BufferedReader stream = openEndlessStream("r")) {
            assertThat(toHead.send("DELETE", "/v1/requests/r", "").status()).isEqualTo(200);
            assertThat(data(stream)).last().isEqualTo("[DONE]");
        }
        TestClient.await(() -> toHead.send("DELETE", "/v1/requests/r", "").status() == 404);
    }
}
