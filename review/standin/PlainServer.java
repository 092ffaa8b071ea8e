import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** Stand-in for an engine of a plain service. It keeps its own entry in the store and records what reaches it. */
final class PlainServer {
    record Arrival(String id, long nanos) {}

    final String id;
    final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Store store;
    private final String service;
    private final String zone;
    private final int slots;
    private final long workMillis;
    private final long bornMillis = System.currentTimeMillis();
    private final HttpServer server;
    private final Recorder recorder;
    /** Share of the requests that it runs and does not answer. */
    private volatile double lostShare;

    PlainServer(Store store, String id, String service, String zone, int slots, long workMillis, Recorder recorder)
            throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMillis = workMillis;
        this.recorder = recorder;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::call);
        server.start();
        register("ready");
    }

    /** Writes the entry and returns the time of the acknowledgement. */
    long register(String state) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + server.getAddress().getPort());
        entry.put("zone", zone);
        entry.put("version", 1);
        entry.put("slots", slots);
        entry.put("state", state);
        entry.put("cold_left_ms", 0);
        entry.put("seq", 0);
        entry.put("born", bornMillis);
        return store.put("servers", id, entry);
    }

    /** Loses the answers of a share of the requests that it runs from now on, and resets their connections. */
    void loseAnswers(double share) {
        lostShare = share;
    }

    private void call(HttpExchange exchange) throws IOException {
        long now = System.nanoTime();
        String attempt = exchange.getRequestHeaders().getFirst("Sesamehead-Attempt-Id");
        String expected = exchange.getRequestHeaders().getFirst("Sesamehead-Expect-Instance");
        exchange.getRequestBody().readAllBytes();
        if (expected != null && !expected.equals(id)) {
            exchange.sendResponseHeaders(421, -1);
            exchange.close();
            return;
        }
        arrivals.add(new Arrival(attempt, now));
        recorder.write("run " + attempt + " at " + id);
        try {
            Thread.sleep(workMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (ThreadLocalRandom.current().nextDouble() < lostShare) {
            recorder.write("lost the answer to " + attempt + " at " + id);
            exchange.close();
            return;
        }
        byte[] body = ("done " + attempt).getBytes();
        exchange.getResponseHeaders().set("Sesamehead-Attempt-Id", attempt);
        exchange.getResponseHeaders().set("Sesamehead-Response-Seal", "seal." + id);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
