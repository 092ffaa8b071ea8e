package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.TargetKey;
import java.util.ArrayList;
import java.util.List;

/**
 * Simulates one request that crashes every engine that runs it and is retried at random daemons, alongside harmless
 * requests and the loss of whole domains of engines.
 */
final class CrashingRequestSimulation extends CrashReportSimulation {
    /** Number of crashed engines after which daemons must refuse the request. */
    private static final int CRASH_LIMIT = 3;

    private static final long ENGINE_RESTART_MILLIS = 4_000;
    private static final int ATTEMPTS = 2;
    private static final int ENGINES = 54;
    private static final int HARMLESS_PER_DAEMON = 16;
    private static final CrashSubject CRASHING = new CrashSubject(-1);

    private final List<Engine> engines = new ArrayList<>();
    private final List<Long> crashes = new ArrayList<>();
    /** Retries of the crashing request that a daemon sent although it had had time to learn of the crashes. */
    int lateRetries;
    /** Retries of the crashing request that were refused. */
    int refusedRetries;
    /** Attempts of harmless requests, including the refused ones. */
    int harmlessAttempts;
    /** Attempts of harmless requests that were refused. */
    int harmlessRefused;

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

    /** Without repeated reports, a crash is reported only while it is about one report interval old. */
    CrashingRequestSimulation(long seed, int size, boolean repeatReports) {
        super(seed, size, repeatReports);
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine(i));
        }
    }

    @Override
    void scheduleLoad() {
        for (int i = 0; i < HARMLESS_PER_DAEMON * daemons.size(); i++) {
            CrashSubject request = new CrashSubject(i);
            scheduleAt(random.nextLong(2_000), () -> sendHarmlessRequest(request));
        }
        scheduleAt(2_000, this::sendCrashingRequest);
        scheduleAt(1_000, this::injectFault);
        scheduleAt(5_000 + random.nextLong(20_000), this::loseDomain);
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
}
