package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.CrashReport;
import io.sesamehead.coordination.dispatch.PromptPartCrashes;
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
 * Simulates daemons that exchange crash reports over datagrams that are lost, duplicated, delayed and reordered.
 * Daemons restart, freeze and are partitioned. Runs in virtual time and is deterministic for a seed.
 */
abstract class CrashReportSimulation {
    /** Time within which a daemon must have learned of a crash, in milliseconds. */
    static final long PROPAGATION_MILLIS = 3_000;

    private static final long RUN_MILLIS = 60_000;
    private static final long MESH_REPORT_MILLIS = 150;
    private static final long RELAYED_REPORT_MILLIS = 180;
    private static final long RESTART_MILLIS = 700;
    private static final long MAX_FAULT_MILLIS = 8_000;
    private static final int DOMAINS = 5;

    final SplittableRandom random;
    final List<Daemon> daemons = new ArrayList<>();
    long now;
    private final boolean repeatReports;
    private final Map<DaemonId, Daemon> byId = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private long eventCount;

    private record Event(long atMillis, long sequence, Runnable action) {}

    static final class Daemon {
        final DaemonId id;
        final FailureDomain domain;
        CrashHistory history;
        PromptPartCrashes parts;
        private ReportTopology topology;
        private long downUntil;
        private long frozenUntil;
        private long partitionedUntil;
        private long disturbedUntil;

        private Daemon(DaemonId id, FailureDomain domain) {
            this.id = id;
            this.domain = domain;
            this.topology = new ReportTopology(id, domain);
            forgetCrashes();
        }

        private void forgetCrashes() {
            history = new CrashHistory();
            parts = new PromptPartCrashes(history, id);
        }

        boolean running(long now) {
            return now >= downUntil && now >= frozenUntil;
        }

        boolean caughtUp(long now) {
            return running(now) && undisturbedSince(now - PROPAGATION_MILLIS);
        }

        boolean undisturbedSince(long millis) {
            return millis >= disturbedUntil;
        }
    }

    /** Without repeated reports, a crash is reported only while it is about one report interval old. */
    CrashReportSimulation(long seed, int size, boolean repeatReports) {
        this.random = new SplittableRandom(seed);
        this.repeatReports = repeatReports;
        for (int i = 0; i < size; i++) {
            Daemon daemon = new Daemon(new DaemonId("daemon-" + i), new FailureDomain("zone-" + i % DOMAINS));
            daemons.add(daemon);
            byId.put(daemon.id, daemon);
        }
        daemons.forEach(this::listPeers);
    }

    final void run() {
        for (Daemon daemon : daemons) {
            scheduleAt(random.nextLong(MESH_REPORT_MILLIS), () -> sendReport(daemon));
        }
        scheduleLoad();
        while (!events.isEmpty() && events.peek().atMillis() <= RUN_MILLIS) {
            Event event = events.poll();
            now = event.atMillis();
            event.action().run();
        }
    }

    /** Schedules the first calls and faults. */
    abstract void scheduleLoad();

    /** Called when a daemon has restarted. */
    void onRestart(Daemon daemon) {}

    final void scheduleAt(long millis, Runnable action) {
        eventCount++;
        events.add(new Event(millis, eventCount, action));
    }

    final void scheduleAfter(long millis, Runnable action) {
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
        ReportCodec.decodeCrashes(report).forEach(row -> receiver.parts.merge(row, now));
    }

    final Daemon randomRunningDaemon() {
        Daemon daemon = daemons.get(random.nextInt(daemons.size()));
        while (!daemon.running(now)) {
            daemon = daemons.get(random.nextInt(daemons.size()));
        }
        return daemon;
    }

    /** A frozen daemon observes the loss when it resumes; a daemon that restarted never does. */
    final void observe(Daemon daemon, Runnable action) {
        CrashHistory before = daemon.history;
        scheduleAt(Math.max(now + random.nextLong(20), daemon.frozenUntil), () -> {
            if (daemon.history == before && now >= daemon.downUntil) {
                action.run();
            }
        });
    }

    final void injectFault() {
        scheduleAfter(300 + random.nextLong(60_000 / daemons.size()), this::injectFault);
        Daemon daemon = daemons.get(random.nextInt(daemons.size()));
        long until = now + 500 + random.nextLong(MAX_FAULT_MILLIS);
        switch (random.nextInt(3)) {
            case 0 -> {
                daemon.downUntil = now + RESTART_MILLIS;
                daemon.forgetCrashes();
                daemon.topology = new ReportTopology(daemon.id, daemon.domain);
                listPeers(daemon);
                onRestart(daemon);
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
