package io.sesamehead.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.standin.Json;
import io.sesamehead.standin.TestClient;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlatformStandInTest {
    private static final String RELEASES = "/apis/sesamehead.io/v1/namespaces/default/releases";
    private static final String CURRENT = RELEASES + "/current";

    private final PlatformStandIn platform = new PlatformStandIn(new PlatformSettings("127.0.0.1", 0, 0, 3, 0));
    private TestClient client;

    @BeforeEach
    void start() throws IOException {
        platform.start();
        client = new TestClient(platform.address());
    }

    @AfterEach
    void stop() {
        platform.close();
    }

    private static String object(String version, int generation) {
        return "{\"metadata\":{\"name\":\"current\",\"resourceVersion\":\"" + version + "\"},\"spec\":{\"generation\":"
                + generation + "}}";
    }

    private static String version(JsonNode object) {
        return object.path("metadata").path("resourceVersion").asText();
    }

    /** Guards against two concurrent writers that both get a success response. */
    @Test
    void rejectsStaleUpdateAndDuplicateCreate() throws Exception {
        String first = version(client.send("POST", RELEASES, object("", 1)).body());
        assertThat(client.send("PUT", CURRENT, object(first, 2)).status()).isEqualTo(200);
        TestClient.Response late = client.send("PUT", CURRENT, object(first, 3));
        assertThat(late.status()).isEqualTo(409);
        assertThat(late.body().path("reason").asText()).isEqualTo("Conflict");
        assertThat(client.send("POST", RELEASES, object("", 4))
                        .body()
                        .path("reason")
                        .asText())
                .isEqualTo("AlreadyExists");
        String stale = "{\"preconditions\":{\"resourceVersion\":\"" + first + "\"}}";
        assertThat(client.send("DELETE", CURRENT, stale).status()).isEqualTo(409);
        assertThat(client.send("DELETE", CURRENT, "").status()).isEqualTo(200);
        assertThat(client.send("PUT", CURRENT, object("", 5)).status()).isEqualTo(404);
    }

    /** Guards against a dropped response whose write was not applied, and against dropping that of a rejected write. */
    @Test
    void dropsResponseOfAppliedWrite() throws Exception {
        String first = version(client.send("POST", RELEASES, object("", 1)).body());
        client.send("POST", "/admin/faults", "{\"loseAnswers\":1}");
        assertThat(client.send("PUT", CURRENT, object("999", 9)).status()).isEqualTo(409);
        assertThatThrownBy(() -> client.send("PUT", CURRENT, object(first, 2))).isInstanceOf(IOException.class);
        JsonNode read = client.send("GET", CURRENT, "").body();
        assertThat(read.path("spec").path("generation").asInt()).isEqualTo(2);
        assertThat(client.send("PUT", CURRENT, object(version(read), 3)).status())
                .isEqualTo(200);
    }

    /** Guards against missed or duplicate changes when a watch starts from an older version. */
    @Test
    void watchesFromOlderVersion() throws Exception {
        String first = version(client.send("POST", RELEASES, object("", 1)).body());
        client.send("POST", RELEASES, "{\"metadata\":{\"name\":\"other\"}}");
        client.send("PUT", CURRENT, object("", 2));
        String watch = RELEASES + "?watch=true&fieldSelector=metadata.name=current&timeoutSeconds=20&resourceVersion=";
        try (BufferedReader lines = client.open("GET", watch + first, "")) {
            assertThat(event(lines)).isEqualTo("MODIFIED 2");
            client.send("PUT", CURRENT, object("", 3));
            assertThat(event(lines)).isEqualTo("MODIFIED 3");
            client.send("DELETE", CURRENT, "");
            assertThat(event(lines)).isEqualTo("DELETED 3");
            client.send("POST", "/admin/faults", "{\"down\":true}");
            assertThatThrownBy(lines::readLine).isInstanceOf(IOException.class);
        }
        assertThat(client.send("GET", CURRENT, "").status()).isEqualTo(503);
        client.send("POST", "/admin/faults", "{\"down\":false}");
        assertThat(client.send("GET", watch + first, "").status()).isEqualTo(410);
        try (BufferedReader lines = client.open("GET", RELEASES + "?watch=true&timeoutSeconds=0", "")) {
            assertThat(event(lines)).isEqualTo("ADDED 0");
            assertThat(lines.readLine()).isNull();
        }
        JsonNode counts = client.send("GET", "/admin/counts", "").body();
        assertThat(counts.path("calls").path("watch").asInt()).isEqualTo(3);
        assertThat(counts.path("waitingWatches").asInt()).isZero();
    }

    /** Guards against a restore that leaves existing watches open or resumable. */
    @Test
    void restoresSnapshotAndEndsWatches() throws Exception {
        client.send("POST", RELEASES, object("", 1));
        client.send("POST", "/admin/snapshot", "");
        String newest = version(client.send("PUT", CURRENT, object("", 2)).body());
        String watch = RELEASES + "?watch=true&timeoutSeconds=20&resourceVersion=" + newest;
        try (BufferedReader lines = client.open("GET", watch, "")) {
            client.send("POST", "/admin/restore", "");
            assertThatThrownBy(lines::readLine).isInstanceOf(IOException.class);
        }
        JsonNode read = client.send("GET", CURRENT, "").body();
        assertThat(read.path("spec").path("generation").asInt()).isEqualTo(1);
        assertThat(client.send("GET", watch, "").status()).isEqualTo(410);
    }

    /** Guards against a VM list that lacks the labels and annotations read by discovery. */
    @Test
    void listsNodes() throws Exception {
        client.send(
                "PUT",
                "/admin/nodes/vm-1",
                "{\"failureDomain\":\"cebu\",\"fabricDomain\":\"f1\",\"engineAddress\":\"127.0.0.1:9\"}");
        client.send("POST", "/admin/nodes/vm-1/leaving", "");
        JsonNode node =
                client.send("GET", "/api/v1/nodes", "").body().path("items").path(0);
        assertThat(node.at("/metadata/labels/sesamehead.io~1failure-domain").asText())
                .isEqualTo("cebu");
        assertThat(node.at("/metadata/annotations/sesamehead.io~1engine-address")
                        .asText())
                .isEqualTo("127.0.0.1:9");
        assertThat(node.at("/spec/unschedulable").asBoolean()).isTrue();
    }

    /** Guards against a label selector that is ignored or that filters out matching VMs. */
    @Test
    void listsNodesByFailureDomain() throws Exception {
        client.send("PUT", "/admin/nodes/vm-1", "{\"failureDomain\":\"cebu\"}");
        client.send("PUT", "/admin/nodes/vm-2", "{\"failureDomain\":\"bohol\"}");
        JsonNode items = client.send("GET", "/api/v1/nodes?labelSelector=sesamehead.io%2Ffailure-domain%3Dbohol", "")
                .body()
                .path("items");
        assertThat(items.findValuesAsText("name")).containsExactly("vm-2");
    }

    /** Guards against a rate limit that never rejects a call or never recovers. */
    @Test
    void limitsCallsPerSecond() {
        CallRateLimiter rateLimiter = new CallRateLimiter(2, 0);
        assertThat(rateLimiter.tryAdmit("get", "releases", 0)).isTrue();
        assertThat(rateLimiter.tryAdmit("get", "releases", 0)).isTrue();
        assertThat(rateLimiter.tryAdmit("get", "releases", 0)).isFalse();
        assertThat(rateLimiter.tryAdmit("get", "releases", 500_000_000)).isTrue();
        assertThat(rateLimiter.toJson().path("limited").asInt()).isEqualTo(1);
    }

    private static String event(BufferedReader lines) throws IOException {
        JsonNode event = Json.parse(lines.readLine().getBytes(StandardCharsets.UTF_8));
        return event.path("type").asText() + " "
                + event.at("/object/spec/generation").asInt();
    }
}
