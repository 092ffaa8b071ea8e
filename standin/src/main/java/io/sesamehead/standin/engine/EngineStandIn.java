package io.sesamehead.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.standin.Call;
import io.sesamehead.standin.Json;
import io.sesamehead.standin.StandInServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Stand-in for the model engine of one VM. */
public final class EngineStandIn implements AutoCloseable {
    /** Exit code of a killed process (128 + SIGKILL). */
    private static final int CRASH_EXIT_CODE = 137;

    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final int DEFAULT_PRIORITY = 5;
    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private final EngineSettings settings;
    private final StandInServer server;
    private final GroupMembership membership;
    private final CompletionStreams streams;
    private volatile Thread memberProbeThread;
    private volatile long pausedUntilNanos = System.nanoTime();
    private volatile String crashOnPrompt = "";
    private volatile double slowFactor = 1;
    private volatile LoadSample loadSample = new LoadSample(0, 0, System.nanoTime());

    /** A load sample, reported in the status until the next one is taken. */
    private record LoadSample(int inFlight, int queued, long takenNanos) {
        long ageMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - takenNanos);
        }
    }

    /**
     * Creates an engine without starting it.
     *
     * @param settings the settings
     */
    public EngineStandIn(EngineSettings settings) {
        this.settings = settings;
        this.server = new StandInServer(settings.host(), settings.port(), this::serve);
        this.membership = new GroupMembership(settings);
        this.streams = new CompletionStreams(settings.slots());
    }

    /**
     * Starts the engine with a new incarnation and no group. After a crash, restarts it on the same port.
     *
     * @throws IOException if the port cannot be bound
     */
    public synchronized void start() throws IOException {
        membership.restart(ThreadLocalRandom.current().nextLong());
        pausedUntilNanos = System.nanoTime();
        crashOnPrompt = "";
        slowFactor = 1;
        server.start();
        memberProbeThread = Thread.startVirtualThread(this::probeMembers);
    }

    /**
     * Returns the listening address.
     *
     * @return host and bound port
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Closes all sockets immediately, or exits the process if {@link EngineSettings#exitOnCrash} is set. */
    public synchronized void crash() {
        if (settings.exitOnCrash()) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        close();
    }

    @Override
    public synchronized void close() {
        Thread probeThread = memberProbeThread;
        if (probeThread != null) {
            probeThread.interrupt();
        }
        streams.abortAll();
        server.close();
    }

    /**
     * Returns the executions, including those before a restart.
     *
     * @return the latest 100,000 executions in start order
     */
    public List<Execution> executions() {
        return streams.history();
    }

    private void serve(Call call) throws IOException, InterruptedException {
        if (call.path().startsWith("/admin/")) {
            serveAdmin(call);
            return;
        }
        awaitPauseEnd();
        List<String> segments = call.pathSegments();
        if (call.matches("POST", "/v1/completions")) {
            handleCompletion(call);
        } else if (call.method().equals("DELETE") && call.path().startsWith("/v1/requests/")) {
            boolean cancelled = streams.cancel(segments.getLast());
            call.respond(cancelled ? 200 : 404, Json.object().put("cancelled", cancelled));
        } else if (call.matches("GET", "/control/status")) {
            call.respond(200, status());
        } else if (call.matches("POST", "/control/orders")) {
            handleOrder(call);
        } else {
            call.respond(404, Json.problem(404, "not-run", "no such path"));
        }
    }

    private void serveAdmin(Call call) throws IOException {
        if (call.matches("POST", "/admin/faults")) {
            applyFaults(call.json());
            call.respond(200, Json.object().put("slowFactor", slowFactor).put("crashOnPrompt", crashOnPrompt));
        } else if (call.matches("GET", "/admin/executions")) {
            ObjectNode body = Json.object();
            body.set("executions", Json.of(executions()));
            call.respond(200, body);
        } else if (call.matches("GET", "/admin/orders")) {
            ObjectNode body = Json.object();
            ArrayNode list = body.putArray("orders");
            membership.orders().forEach(list::add);
            call.respond(200, body);
        } else {
            call.respond(404, Json.problem(404, "not-run", "no such admin call"));
        }
    }

    private void applyFaults(JsonNode body) throws IOException {
        slowFactor = body.path("slowFactor").asDouble(slowFactor);
        crashOnPrompt = body.path("crashOnPrompt").asText(crashOnPrompt);
        if (body.has("leaving")) {
            membership.markLeaving(body.path("leaving").asBoolean());
        }
        if (body.has("pauseMillis")) {
            pausedUntilNanos = System.nanoTime()
                    + TimeUnit.MILLISECONDS.toNanos(body.path("pauseMillis").asLong());
        }
        if (body.path("crash").asBoolean()) {
            crash();
            throw new IOException("injected fault: crash");
        }
    }

    private ObjectNode status() {
        LoadSample latest = loadSample;
        return membership
                .toJson()
                .put("inFlight", latest.inFlight())
                .put("queued", latest.queued())
                .put("reportAgeMillis", latest.ageMillis());
    }

    private void handleOrder(Call call) throws IOException {
        EngineOrder order = EngineOrder.parse(call.json());
        GroupMembership.Effect effect = membership.apply(order);
        switch (effect) {
            case REFUSED -> {
                call.respond(412, Json.problem(412, "not-run", "epoch is below the highest one received"));
                return;
            }
            case LOADING -> {
                streams.abortAll();
                startLoad(membership.loadId());
            }
            case RELEASED -> streams.abortAll();
            default -> {}
        }
        call.respond(200, status());
    }

    private void startLoad(long loadId) {
        Thread.startVirtualThread(() -> {
            try {
                sleepScaled(settings.loadMillis());
                membership.finishLoading(loadId);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void handleCompletion(Call call) throws IOException, InterruptedException {
        JsonNode body = call.json();
        String prompt = body.path("prompt").asText();
        CompletionStreams.Completion completion = new CompletionStreams.Completion(new Execution(
                body.path("request_id").asText(),
                body.path("group").asText(),
                body.path("epoch").asLong(-1),
                membership.toJson().path("incarnation").asText(),
                call.header("X-Client-Account").orElse(""),
                body.path("priority").asInt(DEFAULT_PRIORITY),
                TokenSource.fingerprint(prompt),
                body.path("resume_from").asInt(0),
                0,
                false));
        Optional<String> rejection = membership.rejectionReason(
                completion.execution().group(), completion.execution().epoch());
        if (rejection.isPresent()) {
            reject(call, rejection.get());
            return;
        }
        streams.acquireSlot(completion);
        try {
            // The completion is registered before this check, so an order or a missing member that arrives
            // meanwhile either fails the check or stops the completion.
            rejection = membership.rejectionReason(
                    completion.execution().group(), completion.execution().epoch());
            if (rejection.isPresent() || completion.stopReason() != CompletionStreams.StopReason.NONE) {
                reject(call, rejection.orElse("request was stopped before it started"));
                return;
            }
            streams.recordStart(completion);
            if (!crashOnPrompt.isEmpty() && prompt.contains(crashOnPrompt)) {
                crash();
                throw new IOException("injected fault: prompt triggers an engine crash");
            }
            streamTokens(call, completion, prompt, body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        } finally {
            streams.releaseSlot(completion);
        }
    }

    private static void reject(Call call, String detail) throws IOException {
        call.respond(409, Json.problem(409, "not-run", detail));
    }

    private void streamTokens(Call call, CompletionStreams.Completion completion, String prompt, int maxTokens)
            throws IOException, InterruptedException {
        OutputStream out = call.startStream("text/event-stream");
        int index = completion.execution().firstIndex();
        while (index < maxTokens && completion.stopReason() != CompletionStreams.StopReason.CANCELLED) {
            sleepScaled(settings.tokenMillis());
            awaitPauseEnd();
            if (completion.stopReason() == CompletionStreams.StopReason.BROKEN) {
                throw new IOException("group is no longer complete");
            }
            sendEvent(out, Json.object().put("index", index).put("text", TokenSource.token(prompt, index)));
            index++;
            completion.recordProgress(index - completion.execution().firstIndex(), false);
        }
        String reason = completion.stopReason() == CompletionStreams.StopReason.CANCELLED ? "cancelled" : "stop";
        sendEvent(out, Json.object().put("finish_reason", reason).put("count", index));
        out.write(DONE_EVENT);
        out.close();
        completion.recordProgress(index - completion.execution().firstIndex(), true);
    }

    private static void sendEvent(OutputStream out, ObjectNode data) throws IOException {
        out.write("data: ".getBytes(StandardCharsets.US_ASCII));
        out.write(Json.line(data));
        out.write('\n');
        out.flush();
    }

    private void probeMembers() {
        MemberProbe probe = new MemberProbe(Duration.ofMillis(settings.memberTimeoutMillis()));
        try {
            while (true) {
                Thread.sleep(settings.memberPollMillis());
                awaitPauseEnd();
                if (loadSample.ageMillis() >= settings.loadSampleMillis()) {
                    loadSample = new LoadSample(streams.inFlight(), streams.queued(), System.nanoTime());
                }
                Optional<EngineOrder> order = membership.orderToProbe();
                if (order.isPresent() && membership.recordMissing(order.get(), probe.findMissing(order.get()))) {
                    streams.abortAll();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitPauseEnd() throws InterruptedException {
        long remainingNanos = pausedUntilNanos - System.nanoTime();
        while (remainingNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(remainingNanos);
            remainingNanos = pausedUntilNanos - System.nanoTime();
        }
    }

    private void sleepScaled(long millis) throws InterruptedException {
        Thread.sleep((long) (millis * slowFactor));
    }
}
