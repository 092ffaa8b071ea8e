import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Each tenant's client asks for the status of its order again and again. For four seconds some servers lose a part of their
 * answers. Checks that each tenant is served a quarter as often as all, over the whole run.
 */
public final class Polls {
    private static final int TENANTS = 20;
    private static final int CLIENTS_PER_TENANT = 1;
    private static final int SERVERS = 5;
    private static final int LOSING_SERVERS = 3;
    private static final double LOST_SHARE = 0.4;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int MIN_PAUSE_MILLIS = 80;
    private static final int MAX_PAUSE_MILLIS = 140;
    private static final long LOSS_AT_MILLIS = 5_000;
    private static final long LOSS_MILLIS = 4_000;
    private static final long END_AT_MILLIS = 55_000;

    private record Call(int tenant, long sentAtMillis, int status) {}

    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Recorder recorder;
    private final long startNanos = System.nanoTime();

    private Polls(Recorder recorder) {
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
        Map<String, Object> config = Config.of(7,
                List.of(Config.route("order-status-read", "/status/", "safe", "tinorder-app", 1_500)),
                List.of(Config.plainService("tinorder-app")));
        List<Map<String, Object>> tenants = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            tenants.add(Config.tenant("tenant-" + i, "key-" + i));
        }
        config.put("tenants", tenants);
        store.put("config", "main", config);
        List<PlainServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new PlainServer(store, "tin-" + i, "tinorder-app", "a", 6, 60, recorder));
        }
        List<Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            daemons.add(new Daemon("front-a-" + i, "a", store.open(), repository, directory, Daemon.usualBounds()));
        }
        for (Daemon daemon : daemons) {
            daemon.start(true);
        }
        long limit = System.nanoTime() + 20_000_000_000L;
        while (daemons.stream().anyMatch(daemon -> daemon.ready() != 200)) {
            if (System.nanoTime() > limit) {
                System.out.println("a daemon did not become ready");
                System.exit(2);
            }
            Thread.sleep(100);
        }
        Thread.sleep(2_000);
        System.exit(new Polls(recorder).run(daemons, servers, trouble));
    }

    private int run(List<Daemon> daemons, List<PlainServer> servers, boolean trouble) throws Exception {
        long begin = now();
        for (int i = 0; i < TENANTS * CLIENTS_PER_TENANT; i++) {
            int client = i;
            Thread.ofVirtual().start(() -> poll(client, daemons, begin + END_AT_MILLIS));
        }
        Thread.sleep(LOSS_AT_MILLIS);
        if (trouble) {
            recorder.write(LOSING_SERVERS + " of " + SERVERS + " servers lose the answers of " + LOST_SHARE + " of what they run");
            servers.subList(0, LOSING_SERVERS).forEach(server -> server.loseAnswers(LOST_SHARE));
        }
        Thread.sleep(LOSS_MILLIS);
        servers.forEach(server -> server.loseAnswers(0));
        long calmAgainAt = now();
        recorder.write("all servers answer everything");
        Thread.sleep(END_AT_MILLIS - LOSS_AT_MILLIS - LOSS_MILLIS + DEADLINE_MILLIS);
        return judge(calmAgainAt);
    }

    private void poll(int client, List<Daemon> daemons, long endAtMillis) {
        Random random = new Random(client);
        int tenant = client % TENANTS;
        Caller caller = null;
        int connection = 0;
        try {
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            for (int n = 0; now() < endAtMillis; n++) {
                long sentAt = now();
                int status = 0;
                for (int attempt = 0; attempt < 2; attempt++) {
                    String id = "c" + client + "n" + n + "a" + attempt;
                    String reason;
                    try {
                        if (caller == null) {
                            caller = new Caller(daemons.get((client + connection++) % daemons.size()).frontPort);
                        }
                        caller.timeout(DEADLINE_MILLIS);
                        caller.get("/status/order-" + tenant, Config.HOST, "key-" + tenant, id, DEADLINE_MILLIS, 10);
                        Caller.Answer answer = caller.receive();
                        status = answer.status();
                        reason = answer.reason() + " " + answer.body();
                    } catch (IOException e) {
                        status = 0;
                        reason = e.toString();
                    }
                    recorder.write("sent " + id + " of tenant " + tenant + ", answered " + status + " " + reason);
                    if (status == 200) {
                        break;
                    }
                    if (caller != null) {
                        caller.close();
                        caller = null;
                    }
                    // A refusal asks for more time than a third of the deadline, so the client does not come back for it.
                    if (status == 503) {
                        break;
                    }
                }
                calls.add(new Call(tenant, sentAt, status));
                Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
            }
        } catch (InterruptedException | IOException e) {
            recorder.write("client " + client + " ended: " + e);
        }
    }

    private int judge(long calmAgainAt) {
        double all = share(calls.stream().toList());
        boolean broken = false;
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < TENANTS; i++) {
            int tenant = i;
            List<Call> own = calls.stream().filter(call -> call.tenant() == tenant).toList();
            List<Call> later = own.stream().filter(call -> call.sentAtMillis() > calmAgainAt + 3_000).toList();
            boolean starved = share(own) < all / 4;
            broken |= starved;
            text.append(String.format("tenant %d: served %.3f of %d, from 3 s after the disruption %.3f of %d%s%n",
                    tenant, share(own), own.size(), share(later), later.size(), starved ? ", starved" : ""));
        }
        text.append(String.format("all: served %.3f of %d%n", all, calls.size()));
        text.append("Starved ").append(broken ? "broken" : "held");
        recorder.write(text.toString());
        System.out.println(text);
        return broken ? 1 : 0;
    }

    private static double share(List<Call> calls) {
        return calls.isEmpty() ? 1 : (double) calls.stream().filter(call -> call.status() == 200).count() / calls.size();
    }
}
