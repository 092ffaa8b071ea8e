import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Clients with kept connections. A new configuration raises the limit of request headers; well after its convergence time
 * the clients send headers that the new limit allows. Checks that their requests are not refused with a 4xx.
 */
public final class RaisedLimit {
    private static final int CLIENTS = 20;
    private static final int OLD_LIMIT_BYTES = 16_384;
    private static final int NEW_LIMIT_BYTES = 32_768;
    private static final int OLD_NOTE_BYTES = 12_000;
    private static final int NEW_NOTE_BYTES = 24_000;
    private static final long CHANGE_AT_MILLIS = 6_000;
    private static final long CONVERGE_MILLIS = 2_000;
    private static final long END_AT_MILLIS = 20_000;
    private static final long PAUSE_MILLIS = 400;

    private record Call(int status, boolean keptSinceBefore, boolean afterChange) {}

    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Recorder recorder;
    private final long startNanos = System.nanoTime();
    private volatile long acknowledgedAtMillis = Long.MAX_VALUE;

    private RaisedLimit(Recorder recorder) {
        this.recorder = recorder;
    }

    private long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    public static void main(String[] args) throws Exception {
        Path repository = Path.of(args[0]);
        Path directory = Path.of(args[1]);
        Recorder recorder = new Recorder(Path.of(args[2]));
        boolean trouble = !args[3].equals("0");
        Store store = new Store(recorder);
        store.put("config", "main", config(7, OLD_LIMIT_BYTES));
        for (int i = 0; i < 3; i++) {
            new PlainServer(store, "tin-" + i, "tinorder-app", "a", 6, 60, recorder);
        }
        Daemon daemon = new Daemon("front-a-1", "a", store.open(), repository, directory, Daemon.usualBounds());
        daemon.start(true);
        long limit = System.nanoTime() + 20_000_000_000L;
        while (daemon.ready() != 200) {
            if (System.nanoTime() > limit) {
                System.out.println("the daemon did not become ready");
                System.exit(2);
            }
            Thread.sleep(100);
        }
        System.exit(new RaisedLimit(recorder).run(daemon, store, trouble));
    }

    private static Map<String, Object> config(long version, int headerBytes) {
        Map<String, Object> config = Config.of(version,
                List.of(Config.route("order-status-read", "/status/", "safe", "tinorder-app", 1_500)),
                List.of(Config.plainService("tinorder-app")));
        Json.object(config.get("limits")).put("max_header_bytes", headerBytes);
        return config;
    }

    private int run(Daemon daemon, Store store, boolean trouble) throws Exception {
        Thread.sleep(1_500);
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Thread.ofVirtual().start(() -> call(client, daemon));
        }
        Thread.sleep(CHANGE_AT_MILLIS);
        if (trouble) {
            store.put("config", "main", config(9, NEW_LIMIT_BYTES));
            acknowledgedAtMillis = now();
            recorder.write("version 9 is acknowledged: max_header_bytes " + NEW_LIMIT_BYTES);
        }
        Thread.sleep(END_AT_MILLIS - CHANGE_AT_MILLIS);
        long all = calls.size();
        long refused = calls.stream().filter(call -> call.status() >= 400 && call.status() < 500).count();
        long keptAfter = calls.stream().filter(call -> call.afterChange() && call.keptSinceBefore()).count();
        long served = calls.stream().filter(call -> call.status() == 200).count();
        String result = all + " requests, served " + served + ", refused with a 4xx " + refused
                + "; first requests of old connections after the change " + keptAfter;
        recorder.write(result);
        System.out.println(result);
        boolean broken = refused > 5 + all / 500.0;
        System.out.println("DENIED " + (broken ? "broken" : "held"));
        return broken ? 1 : 0;
    }

    private void call(int client, Daemon daemon) {
        Caller caller = null;
        long openedAt = 0;
        try {
            for (int n = 0; now() < END_AT_MILLIS; n++) {
                boolean after = now() > addClamped(acknowledgedAtMillis, CONVERGE_MILLIS + 500);
                String id = "c" + client + "n" + n;
                int status = 0;
                String reason;
                try {
                    if (caller == null) {
                        caller = new Caller(daemon.frontPort);
                        openedAt = now();
                    }
                    caller.timeout(3_000);
                    caller.get("/status/" + client, Config.HOST, Config.KEY, id, 3_000, after ? NEW_NOTE_BYTES : OLD_NOTE_BYTES);
                    Caller.Answer answer = caller.receive();
                    status = answer.status();
                    reason = answer.reason();
                } catch (IOException e) {
                    reason = e.toString();
                }
                calls.add(new Call(status, openedAt < acknowledgedAtMillis, after));
                recorder.write("sent " + id + (after ? " with a large head" : "") + ", connection of " + openedAt
                        + " ms, answered " + status + " " + reason);
                if (status != 200 && caller != null) {
                    caller.close();
                    caller = null;
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException | IOException e) {
            recorder.write("client " + client + " ended: " + e);
        }
    }

    private static long addClamped(long a, long b) {
        return a > Long.MAX_VALUE - b ? Long.MAX_VALUE : a + b;
    }
}
