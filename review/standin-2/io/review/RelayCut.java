package io.review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Engines of a service are replaced one after the other. Now and then one machine is cut off from the store, the one from
 * which the others of its zone learn of the store. Counts the requests that machines in touch send to an engine later
 * than the bound after the store has acknowledged its leaving.
 */
public final class RelayCut {
    private static final int DAEMONS = 26;
    private static final int ENGINES = 6;
    private static final int ROUNDS = 11;
    private static final long WORK_MILLIS = 60;
    private static final long DRAIN_MILLIS = 3_000;
    /** An engine continues to serve for the bound and a little longer. */
    private static final long LONGER_MILLIS = 80;

    private static final long CONTACT_MILLIS = 4_000;
    private static final long CUT_MILLIS = 4_500;
    private static final Pattern RELAY = Pattern.compile("event=relay .* now=(\\S+)");

    private final Map<String, List<Cut>> cuts = new ConcurrentHashMap<>();
    private final Map<String, String> daemonByAttempt = new ConcurrentHashMap<>();
    private final Record record = new Record();
    private final List<Daemon> daemons = new ArrayList<>();

    private RelayCut() {}

    private record Cut(long fromNanos, long toNanos) {}

    public static void main(String[] arguments) throws Exception {
        System.exit(new RelayCut().run(Path.of(arguments[0]), !"0".equals(System.getenv("TROUBLE"))));
    }

    private int run(Path folder, boolean trouble) throws Exception {
        Path temporary = Temporary.folder();
        Store store = new Store();
        Ports ports = new Ports();
        int storePort = ports.next(1);
        store.listen("127.0.0.1", storePort);
        ArrayDeque<Engine> engines = new ArrayDeque<>();
        int started = 0;
        for (; started < ENGINES; started++) {
            Engine engine = new Engine("i-" + started, "desk", "zone-a", ports.next(1), 18, WORK_MILLIS, record);
            engine.start(store);
            engines.add(engine);
        }
        store.put("config", "main", Config.plain("unsafe"));
        Map<String, Proxy> links = new ConcurrentHashMap<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> daemons.forEach(Daemon::kill)));
        for (int i = 0; i < DAEMONS; i++) {
            String zone = "zone-" + "abc".charAt(i % 3);
            String name = "front-" + zone + "-" + i;
            int link = ports.next(1);
            links.put(name, new Proxy(link, storePort));
            Daemon daemon = new Daemon(
                    name, zone, "127.0.0.1", ports.next(10), "127.0.0.1:" + link, Daemon.GROWN_BOUNDS, temporary, record);
            daemons.add(daemon);
            daemon.start();
        }
        for (Daemon daemon : daemons) {
            if (!daemon.awaitReady(40_000)) {
                record.write(folder.resolve("record.txt"));
                return 2;
            }
        }
        Thread.sleep(CONTACT_MILLIS);
        List<Caller> callers = startCallers(System.nanoTime() + ROUNDS * 6_700_000_000L);
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(ThreadLocalRandom.current().nextInt(200, 600));
            Engine replacement = new Engine("i-" + started++, "desk", "zone-a", ports.next(1), 18, WORK_MILLIS, record);
            replacement.start(store);
            engines.add(replacement);
            Thread.sleep(25);
            String relay = relay();
            if (trouble) {
                links.get(relay).setCut(true);
                record.line("cut       " + relay + " from the store");
            }
            long cutAt = System.nanoTime();
            Engine leaving = engines.poll();
            leaving.drain(store);
            Thread.sleep(DRAIN_MILLIS + LONGER_MILLIS);
            leaving.end(store);
            Thread.sleep(CUT_MILLIS - DRAIN_MILLIS - LONGER_MILLIS);
            if (trouble) {
                links.get(relay).setCut(false);
                record.line("healed    " + relay);
                cuts.computeIfAbsent(relay, name -> new ArrayList<>()).add(new Cut(cutAt, System.nanoTime()));
            }
            Thread.sleep(1_200);
        }
        Thread.sleep(500);
        return judge(folder, callers);
    }

    private List<Caller> startCallers(long endNanos) {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 2 * DAEMONS; i++) {
            Daemon daemon = daemons.get(i % DAEMONS);
            Caller caller = new Caller("127.0.0.1", daemon.front, "/orders/1", 600, 3_000, record);
            callers.add(caller);
            Thread.ofPlatform().daemon().start(() -> {
                try {
                    while (System.nanoTime() < endNanos) {
                        daemonByAttempt.put(caller.call().attempt(), daemon.name());
                        Thread.sleep(10);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        return callers;
    }

    /** Returns the machine that most others of its zone name as their relay in their logs. */
    private String relay() throws Exception {
        Map<String, Integer> named = new ConcurrentHashMap<>();
        for (Daemon daemon : daemons) {
            String last = "";
            for (String line : daemon.log()) {
                Matcher matcher = RELAY.matcher(line);
                if (matcher.find()) {
                    last = matcher.group(1);
                }
            }
            if (!last.isEmpty()) {
                named.merge(last, 1, Integer::sum);
            }
        }
        return named.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
    }

    private int judge(Path folder, List<Caller> callers) throws Exception {
        int late = 0;
        int lost = 0;
        long longest = 0;
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        callers.forEach(caller -> List.copyOf(caller.outcomes())
                .forEach(outcome -> statuses.put(outcome.attempt(), outcome.status())));
        for (Record.AfterDrain after : record.afterDrain()) {
            String daemon = daemonByAttempt.get(after.attempt());
            if (!isInTouch(daemon, after.atNanos())) {
                continue;
            }
            longest = Math.max(longest, after.millis());
            if (after.millis() > DRAIN_MILLIS) {
                late++;
                boolean unanswered = statuses.getOrDefault(after.attempt(), 0) != 200;
                lost += unanswered ? 1 : 0;
                record.line("BROKEN    DRAIN: " + after.attempt() + " reached " + after.engine() + " from " + daemon
                        + ", in touch, " + after.millis() + " ms after its draining was acknowledged (bound "
                        + DRAIN_MILLIS + " ms); its caller got " + statuses.getOrDefault(after.attempt(), 0));
            }
        }
        long answered = statuses.values().stream().filter(status -> status == 200).count();
        String summary = "answered 200: " + answered + "; at an engine later than " + DRAIN_MILLIS
                + " ms after its draining: " + late + ", of these lost: " + lost + "; longest " + longest + " ms";
        record.line(summary);
        record.write(folder.resolve("record.txt"));
        System.out.println(summary);
        return answered < 1_000 ? 2 : late > 0 ? 1 : 0;
    }

    private boolean isInTouch(String daemon, long atNanos) {
        return daemon != null
                && cuts.getOrDefault(daemon, List.of()).stream()
                        .noneMatch(cut ->
                                atNanos > cut.fromNanos() && atNanos < cut.toNanos() + CONTACT_MILLIS * 1_000_000);
    }
}
