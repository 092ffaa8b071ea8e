package io.sesamehead.standin.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.standin.TestClient;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class ServiceStandInTest {
    private static final String[] KEY = {"Idempotency-Key", "k/1", "X-Request-Id", "r"};

    private static ServiceSettings settings() {
        return ServiceSettings.at("127.0.0.1", 0);
    }

    private static JsonNode executions(TestClient client) throws Exception {
        return client.send("GET", "/admin/executions", "").body();
    }

    /** Guards against duplicates that are not counted, and against a lost response whose call was not executed. */
    @Test
    void countsExecutionsWhenResponseIsLost() throws Exception {
        try (ServiceStandIn service = new ServiceStandIn(settings())) {
            service.start();
            TestClient client = new TestClient(service.address());
            client.send("POST", "/admin/faults", "{\"loseAnswers\":1}");
            assertThatThrownBy(() -> client.send("POST", "/press", "b", KEY)).isInstanceOf(IOException.class);
            assertThat(client.send("POST", "/press", "b", KEY)
                            .body()
                            .path("requestId")
                            .asText())
                    .isEqualTo("r");
            assertThat(executions(client).path("byKey").path("k/1").asInt()).isEqualTo(2);
            assertThat(executions(client).path("byRequestId").path("r").asInt()).isEqualTo(2);
        }
    }

    /** Guards against a rejected repeat that is executed, and against a key whose result cannot be queried. */
    @Test
    void rejectsRepeatsAndReturnsResultByKey() throws Exception {
        try (ServiceStandIn service = new ServiceStandIn(settings().withKeySupport(true, true))) {
            service.start();
            TestClient client = new TestClient(service.address());
            assertThat(client.send("GET", "/keys/k%2F1", "").status()).isEqualTo(404);
            client.send("POST", "/press", "b", KEY);
            TestClient.Response repeat = client.send("POST", "/press", "b", KEY);
            assertThat(repeat.status()).isEqualTo(409);
            assertThat(repeat.body().at("/first/body/body").asText()).isEqualTo("b");
            assertThat(client.send("GET", "/keys/k%2F1", "")
                            .body()
                            .path("state")
                            .asText())
                    .isEqualTo("done");
            assertThat(executions(client).path("total").asInt()).isEqualTo(1);
        }
    }

    /** Guards against a call that is executed although it is reported as not run. */
    @Test
    void rejectsBeforeRunningAndReportsLeaving() throws Exception {
        try (ServiceStandIn service = new ServiceStandIn(settings())) {
            service.start();
            TestClient client = new TestClient(service.address());
            client.send("POST", "/admin/faults", "{\"refuse\":1,\"leaving\":true}");
            TestClient.Response refused = client.send("POST", "/press", "b", KEY);
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.body().path("run").asText()).isEqualTo("not-run");
            assertThat(executions(client).path("total").asInt()).isZero();
            assertThat(client.send("GET", "/status", "").body().path("state").asText())
                    .isEqualTo("leaving");
            client.send("POST", "/press", "b", KEY);
            assertThat(executions(client).path("whileLeaving").asInt()).isEqualTo(1);
        }
    }
}
