package io.review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The head of a group leaves it by order, and orders that got no answer while the group was formed are carried out after
 * that: the head is in its group again, and open. Then an engine that had crashed comes back, and a new group can be
 * formed. Is the open head ordered into it?
 */
public final class LateOrders implements GroupEngine.Orders {
    private static final int DAEMONS = 3;
    private static final String MODEL = "daka510000";
    private static final long MIN_LATE_MILLIS = 2_000;
    private static final long MAX_LATE_MILLIS = 12_000;

    private final boolean trouble;
    private final Record record = new Record();
    private final Map<String, GroupEngine> fleet = new ConcurrentHashMap<>();
    private final List<String> breaches = new CopyOnWriteArrayList<>();
    private final Store store = new Store();
    private String head = "";
    private String firstGroup = "";
    private GroupEngine.Order lateJoin;
    private GroupEngine.Order lateOpen;
    private long joinAtNanos;
    private long openAtNanos;
    private int ordersSent;
    private int ordersHeld;
    private volatile boolean headLeft;

    private LateOrders(boolean trouble) {
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        int code = new LateOrders(!"0".equals(System.getenv("TROUBLE"))).run(Path.of(arguments[0]));
        System.exit(code);
    }

    @Override
    public synchronized GroupEngine.Fate fate(GroupEngine engine, GroupEngine.Order order) {
        ordersSent++;
        boolean held = trouble && isHeld(engine, order);
        ordersHeld += held ? 1 : 0;
        return held ? GroupEngine.Fate.HELD : GroupEngine.Fate.NORMAL;
    }

    /** The head's first join and first open get no answer. */
    private boolean isHeld(GroupEngine engine, GroupEngine.Order order) {
        if (order.op().equals("join") && firstGroup.isEmpty()) {
            firstGroup = order.group();
            head = order.members().get(0);
        }
        if (!order.group().equals(firstGroup)) {
            return false;
        }
        if (engine.id.equals(head) && order.op().equals("join") && lateJoin == null) {
            lateJoin = order;
            joinAtNanos = System.nanoTime();
            return true;
        }
        if (engine.id.equals(head) && order.op().equals("open") && lateOpen == null) {
            lateOpen = order;
            openAtNanos = System.nanoTime();
            return true;
        }
        return false;
    }

    @Override
    public synchronized void carriedOut(GroupEngine engine, GroupEngine.Order order, int status) {
        if (engine.id.equals(head) && order.op().equals("leave") && order.group().equals(firstGroup)) {
            headLeft = true;
        }
    }

    private int run(Path folder) throws Exception {
        Path temporary = Temporary.folder();
        Ports ports = new Ports();
        int storePort = ports.next(1);
        store.listen("127.0.0.1", storePort);
        store.put("config", "main", Config.pool(3));
        for (String name : List.of("i-a", "i-b", "i-c")) {
            engine(name, ports, List.of()).start();
        }
        List<Daemon> daemons = new ArrayList<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> daemons.forEach(Daemon::kill)));
        for (int i = 0; i < DAEMONS; i++) {
            Daemon daemon = new Daemon(
                    "front-a-" + i, "127.0.0.1", ports.next(10), "127.0.0.1:" + storePort, temporary, record);
            daemons.add(daemon);
            daemon.start();
        }
        int code = play(ports, daemons);
        record.line("orders " + ordersSent + ", of these without an answer " + ordersHeld);
        record.write(folder.resolve("record.txt"));
        for (Daemon daemon : daemons) {
            Files.write(Path.of("target/review-2", daemon.name() + ".log"), daemon.log());
        }
        System.out.println(code == 1 ? "broken: " + breaches : code == 0 ? "held" : "could not run");
        return code;
    }

    private GroupEngine engine(String name, Ports ports, List<String> staged) {
        return new GroupEngine(name, ports.next(1), store, record, this, fleet, staged, breaches);
    }

    private int play(Ports ports, List<Daemon> daemons) throws Exception {
        for (Daemon daemon : daemons) {
            if (!daemon.awaitReady(30_000)) {
                return 2;
            }
        }
        boolean formed = await(15_000, () -> fleet.values().stream().anyMatch(engine -> engine.state().equals("open"))
                && fleet.values().stream().allMatch(engine -> engine.staged().contains(MODEL)));
        if (!formed) {
            record.line("no group in time");
            return 2;
        }
        fleet.values().forEach(GroupEngine::trafficBegins);
        List<Caller> callers = new ArrayList<>();
        long end = System.nanoTime() + 45_000_000_000L;
        for (int i = 0; i < 6; i++) {
            Caller caller = new Caller("127.0.0.1", daemons.get(i % DAEMONS).front, "/notes/1", 600, 8_000,
                    "Sesamehead-Model: " + MODEL + "\r\nSesamehead-Token-Counts: 60,84\r\nSesamehead-Prompt-Prefix: "
                            + "5c1e07a2:40,91bd3f0" + i + ":20\r\n", record);
            callers.add(caller);
            Thread.ofPlatform().daemon().start(() -> {
                try {
                    while (System.nanoTime() < end) {
                        caller.call();
                        Thread.sleep(200);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        Thread.sleep(1_000);
        if (trouble) {
            int code = disrupt(ports);
            if (code != 0) {
                return code;
            }
        }
        Thread.sleep(8_000);
        long answered = callers.stream()
                .flatMap(caller -> List.copyOf(caller.outcomes()).stream())
                .filter(outcome -> outcome.status() == 200)
                .count();
        record.line("answered 200: " + answered);
        if (answered == 0) {
            return 2;
        }
        return breaches.isEmpty() ? 0 : 1;
    }

    private int disrupt(Ports ports) throws Exception {
        GroupEngine crashed;
        synchronized (this) {
            crashed = fleet.get(lateJoin.members().get(1));
        }
        long crashedAt = System.nanoTime();
        crashed.crash();
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(3_600 + 600);
                store.delete("servers", crashed.id);
                record.line("store     removes the entry of " + crashed.id + " after three heartbeat intervals of silence");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        if (!await(10_000, () -> headLeft)) {
            record.line("the head was not ordered to leave");
            return 2;
        }
        Thread.sleep(300);
        if (!carryOutLate(lateJoin, joinAtNanos)) {
            return 2;
        }
        Thread.sleep(400);
        if (!carryOutLate(lateOpen, openAtNanos)) {
            return 2;
        }
        Thread.sleep(500);
        record.line("after the crash " + (System.nanoTime() - crashedAt) / 1_000_000 + " ms: " + head + " is "
                + fleet.get(head).state() + " in " + fleet.get(head).group());
        engine("i-b2", ports, List.of(MODEL)).start();
        return 0;
    }

    private boolean carryOutLate(GroupEngine.Order order, long sentAtNanos) {
        long lateMillis = (System.nanoTime() - sentAtNanos) / 1_000_000;
        if (lateMillis < MIN_LATE_MILLIS || lateMillis > MAX_LATE_MILLIS) {
            record.line("the order would be carried out " + lateMillis + " ms after it was sent");
            return false;
        }
        fleet.get(head).carryOut(order, ", carried out " + lateMillis + " ms late");
        return true;
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
