package io.sesamehead.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.management.OperatingSystemMXBean;
import io.sesamehead.daemon.runtime.DaemonProcess;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Frames, bytes, store calls, watches, processor time and heap of a fleet that serves no calls, and the time in which a
 * new generation reaches all of its daemons.
 */
final class FleetSlopes {
    private static final int WARM_UP_SECONDS = 15;
    private static final int GENERATIONS = 5;
    private static final double MILLION = 1e6;

    private final Fleet fleet;
    private final PlatformAdmin admin;
    private final int seconds;

    private FleetSlopes(Fleet fleet, PlatformAdmin admin, int seconds) {
        this.fleet = fleet;
        this.admin = admin;
        this.seconds = seconds;
    }

    static void run(String platform, int domains, int daemonsPerDomain, int engines, int seconds) throws Exception {
        try (Fleet fleet = new Fleet(platform)) {
            fleet.accept(Shapes.note(engines));
            for (int domain = 1; domain <= domains; domain++) {
                fleet.start("domain-" + domain, daemonsPerDomain);
            }
            fleet.awaitGeneration(1);
            fleet.awaitServing(engines / Shapes.VMS_PER_REPLICA);
            System.out.printf(
                    Locale.ROOT,
                    "fleet: %d failure domains, %d daemons each, %d engines in the first%n",
                    domains,
                    daemonsPerDomain,
                    engines);
            TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
            FleetSlopes slopes = new FleetSlopes(fleet, new PlatformAdmin(platform), seconds);
            slopes.steady();
            slopes.generations();
        }
    }

    private void steady() throws Exception {
        Map<DaemonProcess, FrameTotals> before = totals();
        JsonNode storeBefore = admin.counts();
        Map<String, Long> threadsBefore = ThreadTimes.byGroup();
        long processBefore = processCpuNanos();
        long startNanos = System.nanoTime();
        TimeUnit.SECONDS.sleep(seconds);
        double elapsed = (System.nanoTime() - startNanos) / 1e9;
        long process = processCpuNanos() - processBefore;
        Map<String, Long> threads = ThreadTimes.byGroup();
        JsonNode store = admin.counts();
        printFrames(before, elapsed);
        printStore(storeBefore, store, elapsed);
        int daemons = fleet.daemons.size();
        System.out.printf(
                Locale.ROOT,
                "processor: %.2f%% of a core per daemon, heap after collection %.2f MB per daemon%n",
                process / 1e7 / elapsed / daemons,
                heapAfterCollection() / MILLION / daemons);
        threads.forEach((name, nanos) -> System.out.printf(
                Locale.ROOT,
                "  threads %-12s %.3f%%%n",
                name,
                (nanos - threadsBefore.getOrDefault(name, 0L)) / 1e7 / elapsed / daemons));
    }

    private Map<DaemonProcess, FrameTotals> totals() {
        Map<DaemonProcess, FrameTotals> result = new IdentityHashMap<>();
        fleet.daemons.forEach(daemon -> result.put(daemon, FrameTotals.of(daemon.metrics())));
        return result;
    }

    private void printFrames(Map<DaemonProcess, FrameTotals> before, double elapsed) {
        List<DaemonProcess> relays = new ArrayList<>();
        List<DaemonProcess> others = new ArrayList<>();
        fleet.daemons.stream()
                .filter(it -> it.tables().failureDomain().equals(Shapes.DOMAIN))
                .forEach(it -> (fleet.isRelay(it) ? relays : others).add(it));
        printFrames("relay", relays, before, elapsed);
        printFrames("other", others, before, elapsed);
    }

    private static void printFrames(
            String role, List<DaemonProcess> daemons, Map<DaemonProcess, FrameTotals> before, double elapsed) {
        if (daemons.isEmpty()) {
            return;
        }
        FrameTotals sum = new FrameTotals(new TreeMap<>());
        for (DaemonProcess daemon : daemons) {
            sum = sum.plus(FrameTotals.of(daemon.metrics()).since(before.get(daemon)));
        }
        double scale = 1 / elapsed / daemons.size();
        System.out.printf(
                Locale.ROOT,
                "%s in the first failure domain, per second: sent %.0f bytes, received %.0f bytes%n",
                role,
                sum.sum("sent.", ".bytes") * scale,
                sum.sum("received.", ".bytes") * scale);
        sum.counters().forEach((name, value) -> {
            if (!name.startsWith("received.")) {
                System.out.printf(Locale.ROOT, "  %-34s %.2f%n", name, value * scale);
            }
        });
    }

    private static void printStore(JsonNode before, JsonNode after, double elapsed) {
        System.out.printf(
                "store: %d waiting watches; calls per second:",
                after.path("waitingWatches").asInt());
        for (String part : List.of("calls", "byKind")) {
            after.path(part).properties().forEach(entry -> {
                long count = entry.getValue().asLong()
                        - before.path(part).path(entry.getKey()).asLong();
                System.out.printf(Locale.ROOT, " %s %.2f", entry.getKey(), count / elapsed);
            });
        }
        System.out.println();
    }

    /** Each generation is accepted once the one before is everywhere. */
    private void generations() throws Exception {
        Map<DaemonProcess, FrameTotals> before = totals();
        List<Double> seen = new ArrayList<>();
        for (int round = 0; round < GENERATIONS; round++) {
            long startNanos = System.nanoTime();
            fleet.awaitGeneration(fleet.acceptNext());
            seen.add((System.nanoTime() - startNanos) / MILLION);
        }
        TimeUnit.SECONDS.sleep(2);
        long updates = 0;
        long bytes = 0;
        for (DaemonProcess daemon : fleet.daemons) {
            FrameTotals sent = FrameTotals.of(daemon.metrics()).since(before.get(daemon));
            updates += sent.sum("sent.config-update", ".messages");
            bytes += sent.sum("sent.config-update", ".bytes");
        }
        System.out.printf(
                Locale.ROOT,
                "generation: everywhere after %s ms; %.1f updates and %.0f bytes sent per generation%n",
                seen.stream().map(it -> String.format(Locale.ROOT, "%.0f", it)).toList(),
                (double) updates / GENERATIONS,
                (double) bytes / GENERATIONS);
    }

    private static long processCpuNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    private static long heapAfterCollection() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
