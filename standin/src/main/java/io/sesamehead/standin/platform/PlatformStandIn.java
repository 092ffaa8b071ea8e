package io.sesamehead.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.standin.Call;
import io.sesamehead.standin.Json;
import io.sesamehead.standin.StandInServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for the platform's object API and VM list, with a rate limit and fault injection. */
public final class PlatformStandIn implements AutoCloseable {
    private static final String OBJECTS_PATH = "/apis/sesamehead.io/v1/namespaces/default/";
    private static final int KIND_SEGMENT = 5;
    private static final String NAME_SELECTOR_PREFIX = "metadata.name=";
    private static final int DEFAULT_WATCH_SECONDS = 60;

    private final StandInServer server;
    private final ObjectStore store;
    private final CallRateLimiter rateLimiter;
    private final NodeList nodes;
    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private volatile boolean down;
    private volatile long delayMillis;

    /**
     * Creates a platform without starting it.
     *
     * @param settings the settings
     */
    public PlatformStandIn(PlatformSettings settings) {
        server = new StandInServer(settings.host(), settings.port(), this::serve);
        store = new ObjectStore(settings.watchHistory());
        rateLimiter = new CallRateLimiter(settings.callsPerSecond(), System.nanoTime());
        nodes = new NodeList(settings.nodeLagMillis());
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
        if (call.path().startsWith("/admin/")) {
            serveAdmin(call);
            return;
        }
        boolean nodeList = call.matches("GET", "/api/v1/nodes");
        if (!nodeList && !call.path().startsWith(OBJECTS_PATH)) {
            call.respond(404, ObjectStore.status(404, "NotFound", "no such path"));
            return;
        }
        List<String> segments = call.pathSegments();
        String kind = nodeList ? "nodes" : segments.get(KIND_SEGMENT);
        Optional<String> name =
                segments.size() > KIND_SEGMENT + 1 ? Optional.of(segments.get(KIND_SEGMENT + 1)) : Optional.empty();
        String verb = verb(call, name.isPresent());
        if (!rateLimiter.tryAdmit(verb, kind, System.nanoTime())) {
            call.respondWithRetryAfter(429, 1, ObjectStore.status(429, "TooManyRequests", "rate limit exceeded"));
            return;
        }
        if (delayMillis > 0) {
            Thread.sleep(delayMillis);
        }
        if (down) {
            call.respond(503, ObjectStore.status(503, "ServiceUnavailable", "outage"));
        } else if (nodeList) {
            call.respond(200, nodes.toJson(call.queryParameter("labelSelector").orElse("")));
        } else if (verb.equals("watch")) {
            watch(call, kind);
        } else {
            serveObjectCall(call, verb, kind, name);
        }
    }

    private static String verb(Call call, boolean named) {
        return switch (call.method()) {
            case "GET" -> named ? "get" : call.queryParameter("watch").equals(Optional.of("true")) ? "watch" : "list";
            case "POST" -> "create";
            case "PUT" -> "update";
            case "DELETE" -> "delete";
            default -> "other";
        };
    }

    private void serveObjectCall(Call call, String verb, String kind, Optional<String> name) throws IOException {
        if (call.body().length > Call.MAX_BODY_BYTES) {
            call.respond(413, ObjectStore.status(413, "RequestEntityTooLarge", "object exceeds the limit of 1 MiB"));
            return;
        }
        ObjectNode object = call.json();
        String bodyName = object.path("metadata").path("name").asText("");
        ObjectStore.Key key = new ObjectStore.Key(kind, name.orElse(bodyName));
        boolean needsName = verb.equals("create") || verb.equals("update") || verb.equals("delete");
        if (needsName && (key.name().isEmpty() || (name.isPresent() == verb.equals("create")))) {
            call.respond(
                    400,
                    ObjectStore.status(
                            400,
                            "BadRequest",
                            "name must be in the body of a create, or in the path of an update or delete"));
            return;
        }
        ObjectStore.Result result = switch (verb) {
            case "get" -> store.read(key);
            case "list" -> store.list(kind, selectedName(call));
            case "create" -> store.create(key, object);
            case "update" -> store.update(key, object);
            case "delete" ->
                store.delete(
                        key,
                        object.path("preconditions").path("resourceVersion").asText(""));
            default -> new ObjectStore.Result(405, ObjectStore.status(405, "MethodNotAllowed", verb), false);
        };
        if (result.written() && responsesToDrop.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            throw new IOException("injected fault: dropped the response to a write");
        }
        call.respond(result.status(), result.body());
    }

    private static Optional<String> selectedName(Call call) {
        return call.queryParameter("fieldSelector")
                .filter(selector -> selector.startsWith(NAME_SELECTOR_PREFIX))
                .map(selector -> selector.substring(NAME_SELECTOR_PREFIX.length()));
    }

    private void watch(Call call, String kind) throws IOException, InterruptedException {
        Optional<String> name = selectedName(call);
        long from = Long.parseLong(call.queryParameter("resourceVersion").orElse("0"));
        long seconds =
                Long.parseLong(call.queryParameter("timeoutSeconds").orElse(Integer.toString(DEFAULT_WATCH_SECONDS)));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        List<ObjectStore.Change> changes = new ArrayList<>();
        Optional<ObjectStore.WatchPosition> position =
                from == 0 ? Optional.of(store.watchFromCurrentVersion(kind, name, changes)) : store.watchFrom(from);
        if (position.isEmpty()) {
            call.respond(410, ObjectStore.status(410, "Expired", "version " + from + " is not in the history"));
            return;
        }
        rateLimiter.watchStarted();
        try {
            OutputStream out = call.startStream("application/json");
            out.flush();
            while (position.isPresent()) {
                sendEvents(changes, out);
                changes.clear();
                if (System.nanoTime() >= deadlineNanos) {
                    out.close();
                    return;
                }
                position = store.awaitChanges(kind, name, position.get(), deadlineNanos, changes);
            }
        } finally {
            rateLimiter.watchEnded();
        }
        throw new IOException("watch was disconnected or fell behind the history");
    }

    private static void sendEvents(List<ObjectStore.Change> changes, OutputStream out) throws IOException {
        for (ObjectStore.Change change : changes) {
            ObjectNode event = Json.object().put("type", change.type());
            event.set("object", change.object());
            out.write(Json.line(event));
        }
        out.flush();
    }

    private void serveAdmin(Call call) throws IOException {
        List<String> segments = call.pathSegments();
        if (call.matches("POST", "/admin/faults")) {
            applyFaults(call.json());
            call.respond(200, faultsJson());
        } else if (call.matches("GET", "/admin/faults")) {
            call.respond(200, faultsJson());
        } else if (call.matches("GET", "/admin/counts")) {
            call.respond(200, rateLimiter.toJson());
        } else if (call.matches("POST", "/admin/snapshot")) {
            call.respond(200, store.snapshot());
        } else if (call.matches("POST", "/admin/restore")) {
            ObjectNode body = call.json();
            Optional<ObjectNode> restored = store.restore(
                    body.path("snapshot").asInt(-1), body.path("rewindVersions").asBoolean());
            call.respond(
                    restored.isPresent() ? 200 : 404,
                    restored.orElse(ObjectStore.status(404, "NotFound", "no such snapshot")));
        } else if (segments.get(1).equals("nodes") && segments.size() > 2) {
            serveNodeChange(call, segments);
        } else {
            call.respond(404, ObjectStore.status(404, "NotFound", "no such admin call"));
        }
    }

    private void serveNodeChange(Call call, List<String> segments) throws IOException {
        String name = segments.get(2);
        if (call.method().equals("PUT") && segments.size() == 3) {
            nodes.put(name, call.json());
        } else if (call.method().equals("DELETE") && segments.size() == 3) {
            nodes.remove(name);
        } else if (call.method().equals("POST")
                && segments.size() == 4
                && segments.get(3).equals("leaving")) {
            nodes.markLeaving(name);
        } else {
            call.respond(404, ObjectStore.status(404, "NotFound", "no such admin call"));
            return;
        }
        call.respond(200, Json.object().put("node", name));
    }

    private void applyFaults(JsonNode body) {
        delayMillis = body.path("slowMillis").asLong(delayMillis);
        responsesToDrop.set(body.path("loseAnswers").asInt(responsesToDrop.get()));
        down = body.path("down").asBoolean(down);
        if (down) {
            store.disconnectWatches();
        }
    }

    private ObjectNode faultsJson() {
        return Json.object().put("down", down).put("slowMillis", delayMillis).put("loseAnswers", responsesToDrop.get());
    }
}
