package io.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A member of a group drains, and the group is dissolved. The head's leave gets no answer of its own; in its place arrives
 * a second copy of the answer to the order before. Is the open head ordered into another group?
 */
public final class SecondAnswer implements GroupEngine.Orders {
    private static final int DAEMONS = 3;
    private static final String MODEL = "daka510000";
    private static final long LATE_MILLIS = 4_000;

    private final boolean trouble;
    private final Record record = new Record();
    private final Map<String, GroupEngine> fleet = new ConcurrentHashMap<>();
    private final List<String> breaches = new CopyOnWriteArrayList<>();
    private final Store store = new Store();
    private GroupEngine.Order lateLeave;
    private int ordersSent;

    private SecondAnswer(boolean trouble) {
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        System.exit(new SecondAnswer(!"0".equals(System.getenv("TROUBLE"))).run(Path.of(arguments[0])));
    }

    @Override
    public synchronized GroupEngine.Fate fate(GroupEngine engine, GroupEngine.Order order) {
        ordersSent++;
        boolean openHead = engine.state().equals("open") && order.group().equals(engine.group());
        if (!trouble || !openHead || !order.op().equals("leave") || lateLeave != null) {
            return GroupEngine.Fate.NORMAL;
        }
        lateLeave = order;
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(LATE_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            engine.carryOut(order, ", carried out " + LATE_MILLIS + " ms late");
        });
        return GroupEngine.Fate.HELD_BEHIND_COPY;
    }

    @Override
    public void carriedOut(GroupEngine engine, GroupEngine.Order order, int status) {}

    private int run(Path folder) throws Exception {
        Path temporary = Temporary.folder();
        Ports ports = new Ports();
        int storePort = ports.next(1);
        store.listen("127.0.0.1", storePort);
        store.put("config", "main", Config.pool(2));
        for (String name : List.of("i-a", "i-b", "i-c")) {
            new GroupEngine(name, ports.next(1), store, record, this, fleet, List.of(), breaches).start();
        }
        List<Daemon> daemons = new ArrayList<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> daemons.forEach(Daemon::kill)));
        for (int i = 0; i < DAEMONS; i++) {
            Daemon daemon = new Daemon(
                    "front-a-" + i, "127.0.0.1", ports.next(10), "127.0.0.1:" + storePort, temporary, record);
            daemons.add(daemon);
            daemon.start();
        }
        int code = play(daemons);
        record.line("orders " + ordersSent + ", of these without an answer " + (lateLeave == null ? 0 : 1));
        record.write(folder.resolve("record.txt"));
        System.out.println(code == 1 ? "broken: " + breaches : code == 0 ? "held" : "could not run");
        return code;
    }

    private int play(List<Daemon> daemons) throws Exception {
        for (Daemon daemon : daemons) {
            if (!daemon.awaitReady(30_000)) {
                return 2;
            }
        }
        boolean formed = await(15_000, () -> fleet.values().stream().anyMatch(engine -> engine.state().equals("open"))
                && fleet.values().stream().allMatch(engine -> engine.staged().contains(MODEL)));
        if (!formed) {
            record.line("no group and spare in time");
            return 2;
        }
        fleet.values().forEach(GroupEngine::trafficBegins);
        String leader = store.lastLeaseHolder();
        List<Caller> callers = new ArrayList<>();
        long end = System.nanoTime() + 30_000_000_000L;
        for (int i = 0; i < 18; i++) {
            Daemon daemon = daemons.get(i % DAEMONS);
            // The clients of the lease holder's machine are idle.
            if (daemon.name().equals(leader)) {
                continue;
            }
            Caller caller = new Caller("127.0.0.1", daemon.front, "/notes/1", 600, 8_000,
                    "Sesamehead-Model: " + MODEL + "\r\nSesamehead-Token-Counts: 60,84\r\nSesamehead-Prompt-Prefix: "
                            + "5c1e07a2:40,91bd3f" + (10 + i) + ":20\r\n", record);
            callers.add(caller);
            Thread.ofPlatform().daemon().start(() -> {
                try {
                    while (System.nanoTime() < end) {
                        caller.call();
                        Thread.sleep(100);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        Thread.sleep(500);
        GroupEngine head = fleet.values().stream()
                .filter(engine -> engine.state().equals("open"))
                .findFirst()
                .orElseThrow();
        fleet.values().stream()
                .filter(engine -> engine != head && engine.group().equals(head.group()))
                .findFirst()
                .orElseThrow()
                .drain();
        Thread.sleep(9_000);
        long answered = callers.stream()
                .flatMap(caller -> List.copyOf(caller.outcomes()).stream())
                .filter(outcome -> outcome.status() == 200)
                .count();
        record.line("answered 200: " + answered);
        if (answered == 0 || (trouble && !head.copySent)) {
            return 2;
        }
        return breaches.isEmpty() ? 0 : 1;
    }

    private interface Condition {
        boolean holds();
    }

    private static boolean await(long millis, Condition condition) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (condition.holds()) {
                return true;
            }
            Thread.sleep(10);
        }
        return false;
    }
}
