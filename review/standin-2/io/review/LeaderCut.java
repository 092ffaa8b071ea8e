package io.review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Engines of a service are replaced one after the other, and now and then the daemon that wrote last under a condition is
 * cut off from the store as an engine announces its leaving. Counts the requests that machines in touch send to an engine
 * later than the bound after the store has acknowledged its leaving.
 */
public final class LeaderCut {
    private static final int DAEMONS = 6;
    private static final int ENGINES = 8;
    private static final int ROUNDS = 12;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long CUT_MILLIS = 4_000;

    private LeaderCut() {}

    private record Cut(long fromNanos, long toNanos) {}

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Temporary.folder();
        Record record = new Record();
        Store store = new Store();
        Ports ports = new Ports();
        int storePort = ports.next(1);
        store.listen("127.0.0.1", storePort);
        ArrayDeque<Engine> engines = new ArrayDeque<>();
        int started = 0;
        for (; started < ENGINES; started++) {
            Engine engine = new Engine("i-" + started, "desk", "zone-a", ports.next(1), 6, 20, record);
            engine.start(store);
            engines.add(engine);
        }
        store.put("config", "main", Config.plain("unsafe"));
        List<Daemon> daemons = new ArrayList<>();
        Map<String, Proxy> links = new ConcurrentHashMap<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> daemons.forEach(Daemon::kill)));
        for (int i = 0; i < DAEMONS; i++) {
            String name = "front-a-" + i;
            int link = ports.next(1);
            links.put(name, new Proxy(link, storePort));
            Daemon daemon = new Daemon(name, "127.0.0.1", ports.next(10), "127.0.0.1:" + link, temporary, record);
            daemons.add(daemon);
            daemon.start();
        }
        for (Daemon daemon : daemons) {
            if (!daemon.awaitReady(30_000)) {
                record.write(folder.resolve("record.txt"));
                System.exit(2);
            }
        }
        Thread.sleep(CONTACT_MILLIS + 2_000);
        Map<String, String> daemonByAttempt = new ConcurrentHashMap<>();
        List<Caller> callers = new ArrayList<>();
        long end = System.nanoTime() + ROUNDS * 7_000_000_000L + 1_000_000_000L;
        for (Daemon daemon : daemons) {
            for (int i = 0; i < 3; i++) {
                Caller caller = new Caller("127.0.0.1", daemon.front, "/orders/1", 600, 3_000, record);
                callers.add(caller);
                Thread.ofPlatform().daemon().start(() -> {
                    try {
                        while (System.nanoTime() < end) {
                            daemonByAttempt.put(caller.call().attempt(), daemon.name());
                            Thread.sleep(30);
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
            }
        }
        Map<String, List<Cut>> cuts = new ConcurrentHashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(ThreadLocalRandom.current().nextInt(200, 700));
            Engine replacement = new Engine("i-" + started++, "desk", "zone-a", ports.next(1), 6, 20, record);
            replacement.start(store);
            engines.add(replacement);
            Thread.sleep(100);
            String leader = store.lastLeaseHolder();
            long cutAt = System.nanoTime();
            if (trouble) {
                links.get(leader).setCut(true);
                record.line("cut       " + leader + ", which wrote last under a condition, from the store");
            }
            Engine leaving = engines.poll();
            leaving.drain(store);
            Thread.sleep(CUT_MILLIS);
            if (trouble) {
                links.get(leader).setCut(false);
                record.line("healed    " + leader);
                cuts.computeIfAbsent(leader, name -> new ArrayList<>()).add(new Cut(cutAt, System.nanoTime()));
            }
            leaving.end(store);
            Thread.sleep(1_700);
        }
        Thread.sleep(1_500);
        int late = 0;
        for (Record.AfterDrain after : record.afterDrain()) {
            String daemon = daemonByAttempt.get(after.attempt());
            boolean inTouch = cuts.getOrDefault(daemon, List.of()).stream()
                    .noneMatch(cut -> after.atNanos() > cut.fromNanos()
                            && after.atNanos() < cut.toNanos() + CONTACT_MILLIS * 1_000_000);
            if (after.millis() > DRAIN_MILLIS && daemon != null && inTouch) {
                late++;
                record.line("BROKEN    DRAIN: " + after.attempt() + " reached " + after.engine() + " from " + daemon
                        + ", in touch, " + after.millis() + " ms after its draining was acknowledged (bound 2000 ms)");
            }
        }
        int answered = 0;
        for (Caller caller : callers) {
            answered += (int) caller.outcomes().stream().filter(outcome -> outcome.status() == 200).count();
        }
        long longest = record.afterDrain().stream().mapToLong(Record.AfterDrain::millis).max().orElse(0);
        record.line("answered 200: " + answered + ", later than 2000 ms after a draining: " + late + ", longest " + longest + " ms");
        record.write(folder.resolve("record.txt"));
        System.out.println("answered " + answered + ", late at a draining engine " + late + ", longest " + longest + " ms");
        System.exit(answered < 1_000 ? 2 : late > 0 ? 1 : 0);
    }
}
