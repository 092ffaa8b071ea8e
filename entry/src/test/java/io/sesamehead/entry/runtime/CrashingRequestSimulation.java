package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.CrashReport;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.membership.ReportTopology;
import io.sesamehead.entry.protocol.ReportCodec;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.entry.protocol.generated.ReportKind;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Simulates daemons that exchange crash reports over datagrams that are lost, duplicated, delayed and reordered. One
 * request crashes every engine that runs it and is retried at random daemons, alongside harmless requests and the loss
 * of whole domains of engines. Daemons restart, freeze and are partitioned. Runs in virtual time and is deterministic
 * for a seed.
 */
final class CrashingRequestSimulation {
    /** Time within which a daemon must have learned of a crash, in milliseconds. */
    static final long PROPAGATION_MILLIS = 3_000;
    /** Number of crashed engines after which daemons must refuse the request. */
    private static final int CRASH_LIMIT = 3;

    private static final long RUN_MILLIS = 60_000;
    private static final long MESH_REPORT_MILLIS = 150;
    private static final long RELAYED_REPORT_MILLIS = 180;
    private static final long RESTART_MILLIS = 700;
    private static final long ENGINE_RESTART_MILLIS = 4_000;
    private static final long MAX_FAULT_MILLIS = 8_000;
    private static final int ATTEMPTS = 2;
    private static final int DOMAINS = 5;
    private static final int ENGINES = 54;
    private static final int HARMLESS_PER_DAEMON = 16;
    private static final CrashSubject CRASHING = new CrashSubject(-1);

    private final SplittableRandom random;
    private final boolean repeatReports;
    private final List<Daemon> daemons = new ArrayList<>();
    private final Map<DaemonId, Daemon> byId = new HashMap<>();
    private final List<Engine> engines = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private long eventCount;
    private long now;
    private final List<Long> crashes = new ArrayList<>();
    /** Retries of the crashing request that a daemon sent although it had had time to learn of the crashes. */
    int lateRetries;
    /** Retries of the crashing request that were refused. */
    int refusedRetries;
    /** Attempts of harmless requests, including the refused ones. */
    int harmlessAttempts;
    /** Attempts of harmless requests that were refused. */
    int harmlessRefused;

    private record Event(long atMillis, long sequence, Runnable action) {}

    private static final class Engine {
        private final int id;
        private int incarnation;
        private long downUntil;

        private Engine(int id) {
            this.id = id;
        }

        private TargetKey key() {
            return new TargetKey("engine-" + id, incarnation);
        }
    }

    private static final class Daemon {
        private final DaemonId id;
        private final FailureDomain domain;
        private CrashHistory history = new CrashHistory();
        private ReportTopology topology;
        private long downUntil;
        private long frozenUntil;
        private long partitionedUntil;
        private long disturbedUntil;

        private Daemon(DaemonId id, FailureDomain domain) {
            this.id = id;
            this.domain = domain;
            this.topology = new ReportTopology(id, domain);
        }

        private boolean running(long now) {
            return now >= downUntil && now >= frozenUntil;
        }

        private boolean caughtUp(long now) {
            return running(now) && now >= disturbedUntil + PROPAGATION_MILLIS;
        }
    }

    /** Without repeated reports, a crash is reported only while it is about one report interval old. */
    CrashingRequestSimulation(long seed, int size, boolean repeatReports) {
        this.random = new SplittableRandom(seed);
        this.repeatReports = repeatReports;
        for (int i = 0; i < size; i++) {
            Daemon daemon = new Daemon(new DaemonId("daemon-" + i), new FailureDomain("zone-" + i % DOMAINS));
            daemons.add(daemon);
            byId.put(daemon.id, daemon);
        }
        daemons.forEach(this::listPeers);
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine(i));
        }
    }

    void run() {
        for (Daemon daemon : daemons) {
            scheduleAt(random.nextLong(MESH_REPORT_MILLIS), () -> sendReport(daemon));
        }
        for (int i = 0; i < HARMLESS_PER_DAEMON * daemons.size(); i++) {
            CrashSubject request = new CrashSubject(i);
            scheduleAt(random.nextLong(2_000), () -> sendHarmlessRequest(request));
        }
        scheduleAt(2_000, this::sendCrashingRequest);
        scheduleAt(1_000, this::injectFault);
        scheduleAt(5_000 + random.nextLong(20_000), this::loseDomain);
        while (!events.isEmpty() && events.peek().atMillis() <= RUN_MILLIS) {
            Event event = events.poll();
            now = event.atMillis();
            event.action().run();
        }
    }

    private void scheduleAt(long millis, Runnable action) {
        eventCount++;
        events.add(new Event(millis, eventCount, action));
    }

    private void scheduleAfter(long millis, Runnable action) {
        scheduleAt(now + millis, action);
    }

    private void listPeers(Daemon daemon) {
        daemon.topology.updatePeers(daemons.stream()
                .filter(other -> other != daemon)
                .collect(Collectors.toMap(other -> other.id, other -> other.domain)));
    }

    /** Sends the same reports as {@link PeerReporter}. */
    private void sendReport(Daemon daemon) {
        boolean mesh = daemon.topology.mesh();
        scheduleAfter(mesh ? MESH_REPORT_MILLIS : RELAYED_REPORT_MILLIS, () -> sendReport(daemon));
        if (!daemon.running(now)) {
            return;
        }
        List<CrashReport> rows = daemon.history.nextReport(now);
        if (!repeatReports) {
            rows = rows.stream()
                    .filter(row ->
                            row.ageMillisByCrash().values().stream().anyMatch(age -> age <= 2 * RELAYED_REPORT_MILLIS))
                    .toList();
        }
        if (mesh) {
            List<DaemonId> others = new ArrayList<>(byId.keySet());
            others.remove(daemon.id);
            send(daemon, ReportKind.OWN, rows, others);
            return;
        }
        send(daemon, ReportKind.OWN, rows, daemon.topology.currentRelays(now));
        if (daemon.topology.relaying(now)) {
            send(daemon, ReportKind.RELAY_SUMS, rows, daemon.topology.aggregateRecipients(now));
            send(daemon, ReportKind.ALL_SUMS, rows, daemon.topology.reporters(now));
        }
    }

    private void send(Daemon from, ReportKind kind, List<CrashReport> rows, Collection<DaemonId> receivers) {
        DaemonReport.Builder report =
                DaemonReport.newBuilder().setDaemon(from.id.value()).setKind(kind);
        rows.forEach(row -> report.addCrashed(ReportCodec.encodeCrash(row)));
        byte[] bytes = report.build().toByteArray();
        for (DaemonId receiver : receivers) {
            double chance = random.nextDouble();
            int copies = chance < 0.1 ? 0 : chance < 0.15 ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                long delay = random.nextInt(20) == 0 ? random.nextLong(2_500) : 1 + random.nextLong(20);
                scheduleAfter(delay, () -> deliver(from, byId.get(receiver), bytes));
            }
        }
    }

    private void deliver(Daemon from, Daemon receiver, byte[] bytes) {
        if (now < from.partitionedUntil || now < receiver.partitionedUntil || now < receiver.downUntil) {
            return;
        }
        if (now < receiver.frozenUntil) {
            scheduleAt(receiver.frozenUntil, () -> deliver(from, receiver, bytes));
            return;
        }
        DaemonReport report = ReportCodec.decode(bytes).orElseThrow();
        switch (report.getKind()) {
            case OWN -> receiver.topology.recordReporter(from.id, now);
            case RELAY_SUMS -> receiver.topology.recordPeerRelay(from.id, now);
            case ALL_SUMS -> receiver.topology.recordOwnRelay(from.id, now);
            case URGENT, UNRECOGNIZED -> throw new IllegalStateException("unexpected report kind");
        }
        ReportCodec.decodeCrashes(report).forEach(row -> receiver.history.merge(row, now));
    }

    private Daemon randomRunningDaemon() {
        Daemon daemon = daemons.get(random.nextInt(daemons.size()));
        while (!daemon.running(now)) {
            daemon = daemons.get(random.nextInt(daemons.size()));
        }
        return daemon;
    }

    /** Sends the request to a random running daemon, sometimes to several within a few milliseconds. */
    private void sendCrashingRequest() {
        scheduleAfter(
                random.nextInt(4) == 0 ? random.nextLong(30) : 200 + random.nextLong(900), this::sendCrashingRequest);
        Daemon daemon = randomRunningDaemon();
        boolean late = crashes.size() >= CRASH_LIMIT
                && now > crashes.get(CRASH_LIMIT - 1) + PROPAGATION_MILLIS
                && daemon.caughtUp(now);
        if (daemon.history.isRefused(CRASHING, now)) {
            refusedRetries++;
            return;
        }
        lateRetries += late ? 1 : 0;
        attemptCrashingRequest(daemon, 1);
    }

    private void attemptCrashingRequest(Daemon daemon, int attempt) {
        List<Engine> up =
                engines.stream().filter(engine -> now >= engine.downUntil).toList();
        if (up.isEmpty()) {
            return;
        }
        Engine engine = up.get(random.nextInt(up.size()));
        TargetKey key = engine.key();
        long sentAt = now;
        long end = now + 5 + random.nextLong(100);
        scheduleAt(end, () -> {
            if (key.equals(engine.key()) && now >= engine.downUntil) {
                crashes.add(now);
                stopEngine(engine);
            }
            observe(daemon, () -> {
                daemon.history.recordCrash(CRASHING, key, sentAt, now);
                if (attempt < ATTEMPTS && !daemon.history.isRefused(CRASHING, now)) {
                    attemptCrashingRequest(daemon, attempt + 1);
                }
            });
        });
    }

    /** A frozen daemon observes the loss when it resumes; a daemon that restarted never does. */
    private void observe(Daemon daemon, Runnable action) {
        CrashHistory before = daemon.history;
        scheduleAt(Math.max(now + random.nextLong(20), daemon.frozenUntil), () -> {
            if (daemon.history == before && now >= daemon.downUntil) {
                action.run();
            }
        });
    }

    private void stopEngine(Engine engine) {
        engine.incarnation++;
        engine.downUntil = now + ENGINE_RESTART_MILLIS;
    }

    private void sendHarmlessRequest(CrashSubject request) {
        Daemon daemon = randomRunningDaemon();
        harmlessAttempts++;
        if (daemon.history.isRefused(request, now)) {
            harmlessRefused++;
            scheduleAfter(1_000, () -> sendHarmlessRequest(request));
            return;
        }
        List<Engine> up =
                engines.stream().filter(engine -> now >= engine.downUntil).toList();
        Engine engine = up.get(random.nextInt(up.size()));
        TargetKey key = engine.key();
        long sentAt = now;
        scheduleAfter(300 + random.nextLong(2_000), () -> {
            boolean lost = !key.equals(engine.key());
            observe(daemon, () -> {
                if (lost) {
                    daemon.history.recordCrash(request, key, sentAt, now);
                } else {
                    daemon.history.recordCompleted(request, now);
                }
            });
            scheduleAfter(lost ? 50 : random.nextLong(3_000), () -> sendHarmlessRequest(request));
        });
    }

    private void loseDomain() {
        int first = random.nextInt(ENGINES);
        for (int i = 0; i < ENGINES / 3; i++) {
            stopEngine(engines.get((first + i) % ENGINES));
        }
        scheduleAfter(10_000 + random.nextLong(15_000), this::loseDomain);
    }

    private void injectFault() {
        scheduleAfter(300 + random.nextLong(60_000 / daemons.size()), this::injectFault);
        Daemon daemon = daemons.get(random.nextInt(daemons.size()));
        long until = now + 500 + random.nextLong(MAX_FAULT_MILLIS);
        switch (random.nextInt(3)) {
            case 0 -> {
                daemon.downUntil = now + RESTART_MILLIS;
                daemon.history = new CrashHistory();
                daemon.topology = new ReportTopology(daemon.id, daemon.domain);
                listPeers(daemon);
                markDisturbed(daemon, daemon.downUntil);
            }
            case 1 -> {
                daemon.frozenUntil = until;
                markDisturbed(daemon, until);
            }
            default -> {
                daemon.partitionedUntil = until;
                markDisturbed(daemon, until);
            }
        }
    }

    private static void markDisturbed(Daemon daemon, long until) {
        daemon.disturbedUntil = Math.max(daemon.disturbedUntil, until);
    }
}
