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

/** Stand-in for a plain service. Each received call runs once, so that a repeated call shows as a second execution. */
public final class ServiceStandIn implements AutoCloseable {
    private static final String KEYS = "keys";

    private final ServiceSettings settings;
    private final StandInServer server;
    private final ExecutionLog log = new ExecutionLog();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final AtomicInteger callsToRefuse = new AtomicInteger();
    private volatile long slowMillis;
    private volatile boolean leaving;

    /**
     * Creates a service that is not yet started.
     *
     * @param settings its settings
     */
    public ServiceStandIn(ServiceSettings settings) {
        this.settings = settings;
        this.server = new StandInServer(settings.host(), settings.port(), this::serve);
    }

    /**
     * Binds the port and serves.
     *
     * @throws IOException if the port cannot be bound
     */
    public void start() throws IOException {
        server.start();
    }

    /**
     * Returns where the service listens.
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
        if (call.is("POST", "/admin/faults")) {
            applyFaults(call.json());
            call.answer(200, faults());
        } else if (call.is("GET", "/admin/executions")) {
            call.answer(200, log.toJson());
        } else if (call.is("GET", "/status")) {
            call.answer(200, Json.object().put("state", leaving ? "leaving" : "ready"));
        } else if (settings.asksByKey()
                && call.method().equals("GET")
                && call.segments().size() == 2
                && call.segments().getFirst().equals(KEYS)) {
            Optional<ExecutionLog.Result> result = log.result(call.segments().getLast());
            call.answer(
                    result.isPresent() ? 200 : 404,
                    result.map(ExecutionLog.Result::toJson).orElseGet(Json::object));
        } else {
            run(call);
        }
    }

    private void run(Call call) throws IOException, InterruptedException {
        byte[] body = call.body();
        if (takeOne(callsToRefuse)) {
            log.countRefusal();
            call.refuse(503, 1, Json.problem(503, "not-run", "fault: the service refuses the call"));
            return;
        }
        String key = call.header("Idempotency-Key").orElse("");
        String requestId = call.header("X-Request-Id").orElse("");
        Optional<ExecutionLog.Result> first = log.start(key, requestId, settings.refusesRepeats(), leaving);
        if (first.isPresent()) {
            // No run member: this call did not run, but the key's first call did or does.
            ObjectNode problem = Json.object().put("status", 409).put("detail", "the key was used before");
            problem.set("first", first.get().toJson());
            call.answer(409, problem);
            return;
        }
        Thread.sleep(settings.callMillis() + slowMillis);
        ObjectNode answer = Json.object()
                .put("path", call.path())
                .put("key", key)
                .put("requestId", requestId)
                .put("body", new String(body, StandardCharsets.UTF_8));
        log.finish(key, 200, answer);
        if (takeOne(answersToLose)) {
            throw new IOException("fault: the answer is lost");
        }
        call.answer(200, answer);
    }

    private static boolean takeOne(AtomicInteger left) {
        return left.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }

    private void applyFaults(JsonNode body) {
        answersToLose.set(body.path("loseAnswers").asInt(answersToLose.get()));
        callsToRefuse.set(body.path("refuse").asInt(callsToRefuse.get()));
        slowMillis = body.path("slowMillis").asLong(slowMillis);
        leaving = body.path("leaving").asBoolean(leaving);
    }

    private ObjectNode faults() {
        return Json.object()
                .put("loseAnswers", answersToLose.get())
                .put("refuse", callsToRefuse.get())
                .put("slowMillis", slowMillis)
                .put("leaving", leaving);
    }
}
