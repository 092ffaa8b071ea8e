import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A daemon of the system as a separate process, started with the command of the deploy file. */
final class Daemon {
    final String name;
    final String zone;
    final int frontPort = freePort();
    final int readyPort = freePort();
    final int controlPort = freePort();
    final int peerPort = freePort();
    final int storePort;
    private final Path repository;
    private final Path directory;
    private final Map<String, Object> bounds;
    private Process process;

    Daemon(String name, String zone, int storePort, Path repository, Path directory, Map<String, Object> bounds) {
        this.name = name;
        this.zone = zone;
        this.storePort = storePort;
        this.repository = repository;
        this.directory = directory;
        this.bounds = bounds;
    }

    /** Returns bounds like those of the small deployments. */
    static Map<String, Object> usualBounds() {
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("contact_ms", 3_000);
        bounds.put("drain_ms", 2_000);
        bounds.put("grace_s", 8);
        bounds.put("converge_ms", 2_000);
        bounds.put("strict_revoke", true);
        bounds.put("revoke_ms", 5_000);
        bounds.put("budget_ratio", 0.2);
        bounds.put("budget_window_s", 10);
        bounds.put("retry_slack", 260);
        bounds.put("stall_ms", 4_000);
        bounds.put("require_fence", true);
        return bounds;
    }

    void start(boolean bootstrap) throws IOException {
        Path settings = directory.resolve(name + ".json");
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("cpu_share", 0.51);
        limits.put("cores", 1);
        limits.put("memory_mb", 352);
        limits.put("max_fds", 2_118);
        limits.put("link_mbps", 490);
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("node", name);
        fields.put("role", "entry");
        fields.put("machine_class", "front");
        fields.put("serves", List.of("front", "control"));
        fields.put("ip", "127.0.0.1");
        fields.put("zone", zone);
        fields.put("listen", Map.of(
                "front", "127.0.0.1:" + frontPort,
                "ready", "127.0.0.1:" + readyPort,
                "control", "127.0.0.1:" + controlPort));
        fields.put("internal_ports", List.of(peerPort, peerPort));
        fields.put("bootstrap", bootstrap);
        fields.put("limits", limits);
        fields.put("heartbeat_ms", 1_200);
        fields.put("bounds", bounds);
        fields.put("provider", Map.of("address", "127.0.0.1:" + storePort, "form", "objects"));
        Files.writeString(settings, Json.write(fields));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(repository.toFile());
        builder.environment().put("SESAMEHEAD_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
    }

    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return new ArrayList<>(List.of(line.substring(7, line.lastIndexOf('"')).split(" ")));
            }
        }
        throw new IOException("the deploy file has no command");
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    Process process() {
        return process;
    }

    boolean alive() {
        return process.isAlive();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    /** Returns the status of the readiness probe, or 0 if there is none within a second. */
    int ready() {
        return get(readyPort, "/api/ready").status();
    }

    /** Returns the value of a metric, or -1 if it has none. */
    double metric(String metric) {
        for (String line : get(controlPort, "/metrics").body().split("\n")) {
            if (line.startsWith(metric + " ")) {
                return Double.parseDouble(line.substring(metric.length() + 1).trim());
            }
        }
        return -1;
    }

    String metrics() {
        return get(controlPort, "/metrics").body();
    }

    String log() throws IOException {
        return Files.readString(directory.resolve(name + ".log"));
    }

    private record Page(int status, String body) {}

    private static Page get(int port, String path) {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            int status = connection.getResponseCode();
            try (InputStream in = status < 400 ? connection.getInputStream() : connection.getErrorStream()) {
                return new Page(status, in == null ? "" : new String(in.readAllBytes()));
            }
        } catch (IOException e) {
            return new Page(0, "");
        }
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
