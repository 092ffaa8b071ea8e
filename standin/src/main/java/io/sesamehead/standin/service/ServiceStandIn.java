package io.sesamehead.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.standin.Call;
import io.sesamehead.standin.Json;
import io.sesamehead.standin.StandInServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a plain service. Executes each received call once, so that a repeated call counts as a second execution.
 */
public final class ServiceStandIn implements AutoCloseable {
    private static final String KEYS_SEGMENT = "keys";

    private final ServiceSettings settings;
    private final StandInServer server;
    private final ExecutionLog log = new ExecutionLog();
    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private final AtomicInteger callsToReject = new AtomicInteger();
    private volatile long delayMillis;
    private volatile boolean leaving;

    /**
     * Creates a service without starting it.
     *
     * @param settings the settings
     */
    public ServiceStandIn(ServiceSettings settings) {
        this.settings = settings;
        this.server = new StandInServer(settings.host(), settings.port(), this::serve);
    }

    /**
     * Binds the port and starts serving.
     *
     * @throws IOException if the port cannot be bound
     */
    public void start() throws IOException {
        server.start();
    }

    /**
     * Returns the listening address.
     *
     * @return host and bound port
     */
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public void close() {
        server.close();
    }

    private void serve(Call call) throws IOException, InterruptedException {
        if (call.matches("POST", "/admin/faults")) {
            applyFaults(call.json());
            call.respond(200, faultsJson());
        } else if (call.matches("GET", "/admin/executions")) {
            call.respond(200, log.toJson());
        } else if (call.matches("GET", "/status")) {
            call.respond(200, Json.object().put("state", leaving ? "leaving" : "ready"));
        } else if (settings.servesKeyQueries()
                && call.method().equals("GET")
                && call.pathSegments().size() == 2
                && call.pathSegments().getFirst().equals(KEYS_SEGMENT)) {
            Optional<ExecutionLog.Result> result =
                    log.result(call.pathSegments().getLast());
            call.respond(
                    result.isPresent() ? 200 : 404,
                    result.map(ExecutionLog.Result::toJson).orElseGet(Json::object));
        } else {
            run(call);
        }
    }

    private void run(Call call) throws IOException, InterruptedException {
        byte[] body = call.body();
        if (decrementIfPositive(callsToReject)) {
            log.countRejection();
            call.respondWithRetryAfter(503, 1, Json.problem(503, "not-run", "fault: the service refuses the call"));
            return;
        }
        String key = call.header("Idempotency-Key").orElse("");
        String requestId = call.header("X-Request-Id").orElse("");
        Optional<ExecutionLog.Result> firstResult = log.start(key, requestId, settings.rejectsRepeats(), leaving);
        if (firstResult.isPresent()) {
            // Omits the run member: this call was not executed, but the first call with the key was or still is.
            ObjectNode problem = Json.object().put("status", 409).put("detail", "idempotency key was used before");
            problem.set("first", firstResult.get().toJson());
            call.respond(409, problem);
            return;
        }
        Thread.sleep(settings.callMillis() + delayMillis);
        ObjectNode response = Json.object()
                .put("path", call.path())
                .put("key", key)
                .put("requestId", requestId)
                .put("body", new String(body, StandardCharsets.UTF_8));
        log.finish(key, 200, response);
        if (decrementIfPositive(responsesToDrop)) {
            throw new IOException("injected fault: dropped the response");
        }
        call.respond(200, response);
    }

    private static boolean decrementIfPositive(AtomicInteger counter) {
        return counter.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }

    private void applyFaults(JsonNode body) {
        responsesToDrop.set(body.path("loseAnswers").asInt(responsesToDrop.get()));
        callsToReject.set(body.path("refuse").asInt(callsToReject.get()));
        delayMillis = body.path("slowMillis").asLong(delayMillis);
        leaving = body.path("leaving").asBoolean(leaving);
    }

    private ObjectNode faultsJson() {
        return Json.object()
                .put("loseAnswers", responsesToDrop.get())
                .put("refuse", callsToReject.get())
                .put("slowMillis", delayMillis)
                .put("leaving", leaving);
    }
}
