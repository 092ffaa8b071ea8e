import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;

/**
 * Stand-in for the platform's metadata store: lists, watches and conditional writes over one revision counter. Each
 * daemon reaches it at an address of its own, so that the store can turn one daemon away and serve the others.
 */
final class Store {
    private record Entry(long revision, Object spec) {}

    private record Event(long revision, String kind, String name, Entry entry, boolean deleted) {}

    private final Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Integer, Boolean> turnedAway = new HashMap<>();
    private final Recorder recorder;
    private long revision = 100;
    /** Receives the port of the caller and the name of each object of the system that it has written. */
    private BiConsumer<Integer, String> onSystemWrite = (port, name) -> {};

    Store(Recorder recorder) {
        this.recorder = recorder;
    }

    /** Opens an address of the store and returns its port. */
    int open() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        int port = server.getAddress().getPort();
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/api/objects/", exchange -> handle(exchange, port));
        server.start();
        return port;
    }

    synchronized void onSystemWrite(BiConsumer<Integer, String> listener) {
        onSystemWrite = listener;
    }

    /** Turns the callers at an address away with status 503, or serves them again. */
    synchronized void turnAway(int port, boolean away) {
        turnedAway.put(port, away);
        notifyAll();
    }

    /** Writes an object and returns the time of the acknowledgement. */
    synchronized long put(String kind, String name, Object spec) {
        revision++;
        Entry entry = new Entry(revision, spec);
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, entry);
        history.add(new Event(revision, kind, name, entry, false));
        notifyAll();
        return System.nanoTime();
    }

    synchronized long remove(String kind, String name) {
        Entry old = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
        if (old != null) {
            revision++;
            history.add(new Event(revision, kind, name, old, true));
            notifyAll();
        }
        return System.nanoTime();
    }

    private void handle(HttpExchange exchange, int port) throws IOException {
        try {
            String[] path = exchange.getRequestURI().getPath().substring("/api/objects/".length()).split("/");
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            if (away(port)) {
                answer(exchange, 503, Map.of());
                return;
            }
            switch (exchange.getRequestMethod()) {
                case "GET" -> read(exchange, path, query, port);
                case "POST" -> write(exchange, path[0], "", Json.object(Json.parse(body)), true, port);
                case "PUT" -> write(exchange, path[0], path[1], Json.object(Json.parse(body)), false, port);
                default -> answer(exchange, 405, Map.of());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            recorder.write("store failed: " + e);
            answer(exchange, 503, Map.of());
        }
    }

    private synchronized boolean away(int port) {
        return turnedAway.getOrDefault(port, false);
    }

    private void read(HttpExchange exchange, String[] path, Map<String, String> query, int port)
            throws IOException, InterruptedException {
        if (query.containsKey("watch")) {
            watch(exchange, path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")), port);
            return;
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            List<Object> items = new ArrayList<>();
            kinds.getOrDefault(path[0], new TreeMap<>()).forEach((name, entry) -> items.add(object(name, entry)));
            answer.put("items", items);
            answer.put("more", false);
            answer.put("store_revision", revision);
        }
        answer(exchange, 200, answer);
    }

    private void watch(HttpExchange exchange, String kind, long since, long waitMillis, int port)
            throws IOException, InterruptedException {
        Map<String, Object> answer = new LinkedHashMap<>();
        boolean refused;
        synchronized (this) {
            long end = System.nanoTime() + waitMillis * 1_000_000;
            List<Object> events = events(kind, since);
            while (events.isEmpty() && !away(port) && System.nanoTime() < end) {
                wait(Math.max(1, Math.min(50, (end - System.nanoTime()) / 1_000_000)));
                events = events(kind, since);
            }
            refused = away(port);
            answer.put("events", events);
            answer.put("store_revision", revision);
        }
        answer(exchange, refused ? 503 : 200, refused ? Map.of() : answer);
    }

    private List<Object> events(String kind, long since) {
        List<Object> events = new ArrayList<>();
        for (int i = history.size() - 1; i >= 0 && history.get(i).revision() > since; i--) {
            Event event = history.get(i);
            if (event.kind().equals(kind)) {
                events.add(0, Map.of("object", object(event.name(), event.entry()), "deleted", event.deleted()));
            }
        }
        return events;
    }

    private void write(HttpExchange exchange, String kind, String name, Map<String, Object> body, boolean create, int port)
            throws IOException {
        Map<String, Object> metadata = Json.object(body.get("metadata"));
        String target = create ? metadata.get("name").toString() : name;
        int status;
        Object result;
        BiConsumer<Integer, String> listener;
        synchronized (this) {
            Entry old = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).get(target);
            Object expected = metadata.get("rev");
            boolean fits = create ? old == null : old != null && (expected == null || expected.equals(old.revision()));
            if (fits) {
                put(kind, target, body.get("spec"));
            }
            Entry entry = kinds.get(kind).get(target);
            status = fits ? 200 : create || old != null ? 409 : 404;
            result = entry == null ? Map.of() : object(target, entry);
            listener = fits ? onSystemWrite : (unused, unnamed) -> {};
        }
        answer(exchange, status, result);
        listener.accept(port, kind + "/" + target);
    }

    private static Object object(String name, Entry entry) {
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("rev", entry.revision());
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", entry.spec());
        return object;
    }

    private static void answer(HttpExchange exchange, int status, Object body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> parameters = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            parameters.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return parameters;
    }
}
