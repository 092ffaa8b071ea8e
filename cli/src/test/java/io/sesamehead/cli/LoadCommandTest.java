package io.sesamehead.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a load run fails if the fleet loses, tears or duplicates calls. */
class LoadCommandTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TOKEN = "event: token\nid: 0\ndata: {\"index\":0,\"text\":\"t\"}\n\n";
    private static final String END = "event: end\ndata: {\"count\":1,\"finish\":\"stop\"}\n\n";

    @TempDir
    Path directory;

    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private HttpServer daemon;
    private volatile String stream = TOKEN + END;
    private volatile int executionsPerKey = 1;

    @BeforeEach
    void startDaemon() throws IOException {
        daemon = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        daemon.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        daemon.createContext("/v1/services/assistant/completions", exchange -> answer(exchange, stream));
        daemon.createContext("/v1/services/orders/calls", this::order);
        daemon.start();
    }

    @AfterEach
    void stopDaemon() {
        daemon.stop(0);
    }

    @Test
    void passesCompleteCallsAndWritesResultFile() throws IOException {
        Path result = directory.resolve("result.json");
        TestRun run = load("--order-share", "0.5", "--result", result.toString());
        assertThat(run.out()).endsWith("30 sent, 30 whole, 0 not run, 0 unknown, 0 torn, 0 doubled\n");
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(JSON.readTree(Files.readString(result)).path("whole").asInt())
                .isEqualTo(30);
    }

    @Test
    void failsOnStreamWithoutEnd() {
        stream = TOKEN;
        TestRun run = load("--order-share", "0");
        assertThat(run.out()).endsWith("30 sent, 0 whole, 0 not run, 0 unknown, 30 torn, 0 doubled\n");
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
    }

    @Test
    void failsOnDuplicateExecution() {
        executionsPerKey = 2;
        TestRun run = load("--order-share", "1", "--repeat-share", "0");
        assertThat(run.out()).endsWith("30 sent, 30 whole, 0 not run, 0 unknown, 0 torn, 30 doubled\n");
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
    }

    /** Wrong answers are not included in the five outcome counts of the summary, so the run must fail. */
    @Test
    void failsOnWrongAnswer() {
        stream = TOKEN.replace("\"t\"", "\"u\"") + END;
        TestRun run = load("--order-share", "0");
        assertThat(run.out()).endsWith("30 sent, 0 whole, 0 not run, 0 unknown, 0 torn, 0 doubled\n");
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
    }

    @Test
    void reportsNotRunIfDaemonIsUnreachable() {
        daemon.stop(0);
        TestRun run = load("--order-share", "0.5");
        assertThat(run.out()).endsWith("30 sent, 0 whole, 30 not run, 0 unknown, 0 torn, 0 doubled\n");
    }

    private TestRun load(String... options) {
        String address = "127.0.0.1:" + daemon.getAddress().getPort();
        String[] commonOptions = {
            "load",
            "--daemons",
            address,
            "--max-calls",
            "30",
            "--rate",
            "500",
            "--seconds",
            "5",
            "--attempts",
            "1",
            "--tokens",
            "1",
            "--stream-share",
            "1",
            "--executions",
            "http://service/admin/executions"
        };
        String[] args = new String[commonOptions.length + options.length];
        System.arraycopy(commonOptions, 0, args, 0, commonOptions.length);
        System.arraycopy(options, 0, args, commonOptions.length, options.length);
        JsonSource source = url -> {
            ObjectNode counts = JSON.createObjectNode();
            executions.forEach(counts.putObject("byKey")::put);
            return counts;
        };
        return TestRun.of(ImmutableMap.of("load", new LoadCommand((prompt, index) -> "t", source)), args);
    }

    private void order(HttpExchange exchange) throws IOException {
        executions.put(exchange.getRequestHeaders().getFirst("Idempotency-Key"), executionsPerKey);
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        answer(exchange, JSON.createObjectNode().put("body", body).toString());
    }

    private static void answer(HttpExchange exchange, String text) throws IOException {
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
    }
}
