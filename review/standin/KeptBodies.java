import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Clients with kept connections send requests with bodies far below the limit. One of two daemons loses power and comes
 * back; its clients go to the other one meanwhile. Checks the answers to requests at the other daemon.
 */
public final class KeptBodies {
    private static final int CLIENTS = 100;
    private static final int MIN_BODY_BYTES = 300_000;
    private static final int MAX_BODY_BYTES = 1_200_000;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int MIN_PAUSE_MILLIS = 2_000;
    private static final int MAX_PAUSE_MILLIS = 4_000;
    private static final long KILL_AT_MILLIS = 15_000;
    private static final long DARK_MILLIS = 3_500;
    private static final long RECOVER_MILLIS = 12_000;
    private static final long END_AT_MILLIS = 60_000;

    /** A request; whether all of it was sent, and when its last byte was. */
    private record Call(Daemon daemon, boolean whole, long sentAtMillis, long answeredAtMillis, int status) {}

    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Recorder recorder;
    private final long startNanos = System.nanoTime();

    private KeptBodies(Recorder recorder) {
        this.recorder = recorder;
    }

    private long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    public static void main(String[] args) throws Exception {
        Path repository = Path.of(args[0]);
        Path directory = Path.of(args[1]);
        boolean trouble = !args[3].equals("0");
        Recorder recorder = new Recorder(Path.of(args[2]));
        Store store = new Store(recorder);
        store.put("config", "main", Config.of(7,
                List.of(Config.route("press-order-submit", "/order/", "unsafe", "tinorder-app", TIMEOUT_MILLIS)),
                List.of(Config.plainService("tinorder-app"))));
        for (int i = 0; i < 3; i++) {
            new PlainServer(store, "tin-" + i, "tinorder-app", "a", 6, 60, recorder);
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
        System.exit(new KeptBodies(recorder).run(daemons, trouble));
    }

    private int run(List<Daemon> daemons, boolean trouble) throws Exception {
        Balancer balancer = new Balancer(daemons, recorder);
        Thread.sleep(1_500);
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Thread.ofVirtual().start(() -> call(client, balancer));
        }
        sleepUntil(KILL_AT_MILLIS);
        Daemon killed = daemons.get(1);
        long killedAt = now();
        if (trouble) {
            recorder.write("power off " + killed.name);
            killed.kill();
            sleepUntil(killedAt + DARK_MILLIS);
            recorder.write("power on " + killed.name);
            killed.start(false);
        }
        long backAt = now();
        sleepUntil(END_AT_MILLIS);
        return judge(daemons, daemons.get(0), killedAt, backAt);
    }

    private void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - now()));
    }

    private void call(int client, Balancer balancer) {
        Random random = new Random(client);
        Caller caller = null;
        Daemon daemon = null;
        int attempt = 0;
        try {
            Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            for (int n = 0; now() < END_AT_MILLIS - DEADLINE_MILLIS; n++) {
                String id = "c" + client + "n" + n;
                int bytes = MIN_BODY_BYTES + random.nextInt(MAX_BODY_BYTES - MIN_BODY_BYTES);
                long sentAt = now();
                int status = 0;
                boolean whole = false;
                String reason;
                try {
                    if (caller == null) {
                        daemon = balancer.choose(client, attempt++);
                        caller = new Caller(daemon.frontPort);
                    }
                    caller.timeout(DEADLINE_MILLIS);
                    caller.send("POST", "/order/" + client, Config.HOST, Config.KEY, id, DEADLINE_MILLIS, bytes, 65_536, 0);
                    sentAt = now();
                    whole = true;
                    Caller.Answer answer = caller.receive();
                    status = answer.status();
                    reason = status == 200 ? "" : answer.reason() + " " + answer.body();
                } catch (IOException e) {
                    reason = e.toString();
                }
                calls.add(new Call(daemon, whole, sentAt, status == 0 ? Long.MAX_VALUE : now(), status));
                recorder.write("sent " + id + " to " + daemon.name + ", " + bytes + (whole ? " bytes" : " bytes, not all of it") + ", answered " + status + " after "
                        + (now() - sentAt) + " ms " + reason);
                if (status != 200 && caller != null) {
                    caller.close();
                    caller = null;
                }
                Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS));
            }
        } catch (InterruptedException | IOException e) {
            recorder.write("client " + client + " ended: " + e);
        }
    }

    /** Checks the requests that were sent whole to the daemon that was never disturbed, and the share that is served after the recovery time. */
    private int judge(List<Daemon> daemons, Daemon calm, long killedAt, long backAt) {
        List<Call> atCalm = calls.stream().filter(call -> call.daemon() == calm && call.whole()).toList();
        long late = atCalm.stream().filter(call -> unanswered(call, TIMEOUT_MILLIS)).count();
        long never = atCalm.stream().filter(call -> unanswered(call, TIMEOUT_MILLIS + 500)).count();
        long before = calls.stream().filter(call -> call.sentAtMillis() < killedAt).count();
        long servedBefore = calls.stream().filter(call -> call.sentAtMillis() < killedAt && call.status() == 200).count();
        List<Call> after = calls.stream().filter(call -> call.sentAtMillis() > backAt + RECOVER_MILLIS).toList();
        long servedAfter = after.stream().filter(call -> call.status() == 200).count();
        for (Daemon daemon : daemons) {
            say(daemon.name + ": process " + (daemon.alive() ? "alive" : "ended") + ", readiness " + daemon.ready()
                    + ", lines of its log with OutOfMemoryError " + count(daemon, "OutOfMemoryError")
                    + ", event loops that ended " + count(daemon, "Exception in thread \"multiThreadIoEventLoopGroup"));
        }
        say("at " + calm.name + ": " + atCalm.size() + " whole requests, unanswered at the timeout " + late
                + ", unanswered 0.5 s later " + never);
        say("served before " + servedBefore + " of " + before + ", later than recover_s " + servedAfter + " of " + after.size());
        boolean config = never >= 8 && 2 * never > late;
        boolean recover = 4 * servedBefore >= before && 4 * servedAfter < after.size();
        say("CONFIG " + (config ? "broken" : "held") + ", RECOVER " + (recover ? "broken" : "held"));
        return config ? 1 : 0;
    }

    private static long count(Daemon daemon, String text) {
        try {
            return daemon.log().lines().filter(line -> line.contains(text)).count();
        } catch (IOException e) {
            return 0;
        }
    }

    private static boolean unanswered(Call call, long millis) {
        return call.answeredAtMillis() - call.sentAtMillis() > millis;
    }

    private void say(String text) {
        recorder.write(text);
        System.out.println(text);
    }
}
