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

/** Stand-in for a model engine on one VM. */
public final class EngineStandIn implements AutoCloseable {
    /** Exit code of a killed process (128 + SIGKILL). */
    private static final int CRASH_EXIT_CODE = 137;

    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final int DEFAULT_PRIORITY = 5;
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

    private final EngineSettings settings;
    private final StandInServer server;
    private final Membership membership;
    private final Streams streams;
    private volatile Thread background;
    private volatile long pausedUntilNanos = System.nanoTime();
    private volatile String crashOnPrompt = "";
    private volatile double slowFactor = 1;
    private volatile LoadReport report = new LoadReport(0, 0, System.nanoTime());

    /** A sample of the load, which the status reports until the next sample. */
    private record LoadReport(int inFlight, int queued, long takenNanos) {
        long ageMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - takenNanos);
        }
    }

    /**
     * Creates an engine that is not yet started.
     *
     * @param settings its settings
     */
    public EngineStandIn(EngineSettings settings) {
        this.settings = settings;
        this.server = new StandInServer(settings.host(), settings.port(), this::serve);
        this.membership = new Membership(settings);
        this.streams = new Streams(settings.slots());
    }

    /**
     * Starts the engine with a new incarnation and no group; also restarts it after a crash on the same port.
     *
     * @throws IOException if the port cannot be bound
     */
    public synchronized void start() throws IOException {
        membership.restart(ThreadLocalRandom.current().nextLong());
        pausedUntilNanos = System.nanoTime();
        crashOnPrompt = "";
        slowFactor = 1;
        server.start();
        background = Thread.startVirtualThread(this::watchMembers);
    }

    /**
     * Returns where the engine listens.
     *
     * @return host and bound port
     */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Closes all sockets at once, or ends the process when the settings say so. */
    public synchronized void crash() {
        if (settings.exitOnCrash()) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        close();
    }

    @Override
    public synchronized void close() {
        Thread running = background;
        if (running != null) {
            running.interrupt();
        }
        streams.breakAll();
        server.close();
    }

    /**
     * Returns what the engine ran, also before a restart.
     *
     * @return the latest 100,000 executions in order of their start
     */
    public List<Execution> executions() {
        return streams.executions();
    }

    private void serve(Call call) throws IOException, InterruptedException {
        if (call.path().startsWith("/admin/")) {
            serveAdmin(call);
            return;
        }
        awaitUnpaused();
        List<String> segments = call.segments();
        if (call.is("POST", "/v1/completions")) {
            complete(call);
        } else if (call.method().equals("DELETE") && call.path().startsWith("/v1/requests/")) {
            boolean cancelled = streams.cancel(segments.getLast());
            call.answer(cancelled ? 200 : 404, Json.object().put("cancelled", cancelled));
        } else if (call.is("GET", "/control/status")) {
            call.answer(200, status());
        } else if (call.is("POST", "/control/orders")) {
            takeOrder(call);
        } else {
            call.answer(404, Json.problem(404, "not-run", "no such path"));
        }
    }

    private void serveAdmin(Call call) throws IOException {
        if (call.is("POST", "/admin/faults")) {
            applyFaults(call.json());
            call.answer(200, Json.object().put("slowFactor", slowFactor).put("crashOnPrompt", crashOnPrompt));
        } else if (call.is("GET", "/admin/executions")) {
            ObjectNode body = Json.object();
            body.set("executions", Json.of(executions()));
            call.answer(200, body);
        } else if (call.is("GET", "/admin/orders")) {
            ObjectNode body = Json.object();
            ArrayNode list = body.putArray("orders");
            membership.orders().forEach(list::add);
            call.answer(200, body);
        } else {
            call.answer(404, Json.problem(404, "not-run", "no such admin call"));
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
            throw new IOException("fault: crash");
        }
    }

    private ObjectNode status() {
        LoadReport latest = report;
        return membership
                .toJson()
                .put("inFlight", latest.inFlight())
                .put("queued", latest.queued())
                .put("reportAgeMillis", latest.ageMillis());
    }

    private void takeOrder(Call call) throws IOException {
        EngineOrder order = EngineOrder.parse(call.json());
        Membership.Effect effect = membership.take(order);
        switch (effect) {
            case REFUSED -> {
                call.answer(412, Json.problem(412, "not-run", "the epoch is below the highest seen"));
                return;
            }
            case LOADING -> {
                streams.breakAll();
                load(membership.loadNumber());
            }
            case RELEASED -> streams.breakAll();
            default -> {}
        }
        call.answer(200, status());
    }

    private void load(long number) {
        Thread.startVirtualThread(() -> {
            try {
                sleepSlowed(settings.loadMillis());
                membership.finishLoading(number);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void complete(Call call) throws IOException, InterruptedException {
        JsonNode body = call.json();
        String prompt = body.path("prompt").asText();
        Streams.Run run = new Streams.Run(new Execution(
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
        Optional<String> refusal =
                membership.refusal(run.record().group(), run.record().epoch());
        if (refusal.isPresent()) {
            refuse(call, refusal.get());
            return;
        }
        streams.enter(run);
        try {
            // The run is registered before this check, so an order or a missing member either shows here or stops it.
            refusal = membership.refusal(run.record().group(), run.record().epoch());
            if (refusal.isPresent() || run.stop() != Streams.Stop.NONE) {
                refuse(call, refusal.orElse("stopped before it started"));
                return;
            }
            streams.recordStart(run);
            if (!crashOnPrompt.isEmpty() && prompt.contains(crashOnPrompt)) {
                crash();
                throw new IOException("fault: the prompt crashes the engine");
            }
            stream(call, run, prompt, body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
        } finally {
            streams.leave(run);
        }
    }

    private static void refuse(Call call, String detail) throws IOException {
        call.answer(409, Json.problem(409, "not-run", detail));
    }

    private void stream(Call call, Streams.Run run, String prompt, int maxTokens)
            throws IOException, InterruptedException {
        OutputStream out = call.stream("text/event-stream");
        int index = run.record().firstIndex();
        while (index < maxTokens && run.stop() != Streams.Stop.CANCELLED) {
            sleepSlowed(settings.tokenMillis());
            awaitUnpaused();
            if (run.stop() == Streams.Stop.BROKEN) {
                throw new IOException("the group is not complete any more");
            }
            send(out, Json.object().put("index", index).put("text", TokenSource.token(prompt, index)));
            index++;
            run.progress(index - run.record().firstIndex(), false);
        }
        String reason = run.stop() == Streams.Stop.CANCELLED ? "cancelled" : "stop";
        send(out, Json.object().put("finish_reason", reason).put("count", index));
        out.write(DONE);
        out.close();
        run.progress(index - run.record().firstIndex(), true);
    }

    private static void send(OutputStream out, ObjectNode data) throws IOException {
        out.write("data: ".getBytes(StandardCharsets.US_ASCII));
        out.write(Json.line(data));
        out.write('\n');
        out.flush();
    }

    private void watchMembers() {
        MemberCheck check = new MemberCheck(Duration.ofMillis(settings.memberTimeoutMillis()));
        try {
            while (true) {
                Thread.sleep(settings.memberPollMillis());
                awaitUnpaused();
                if (report.ageMillis() >= settings.reportMillis()) {
                    report = new LoadReport(streams.inFlight(), streams.queued(), System.nanoTime());
                }
                Optional<EngineOrder> order = membership.headOrder();
                if (order.isPresent() && membership.report(order.get(), check.missing(order.get()))) {
                    streams.breakAll();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitUnpaused() throws InterruptedException {
        long left = pausedUntilNanos - System.nanoTime();
        while (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
            left = pausedUntilNanos - System.nanoTime();
        }
    }

    private void sleepSlowed(long millis) throws InterruptedException {
        Thread.sleep((long) (millis * slowFactor));
    }
}
