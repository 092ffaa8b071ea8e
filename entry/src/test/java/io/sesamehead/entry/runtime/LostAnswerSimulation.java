package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetSurvival;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Simulates requests that lose answers of targets which go on. All daemons see the targets listed, but only some see
 * progress there, so that the others depend on reports to serve the requests again.
 */
final class LostAnswerSimulation extends CrashReportSimulation {
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long TICK_MILLIS = 250;
    /** Time after a disturbance in which a deployment must have recovered, in milliseconds. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final long LOSS_INTERVAL_MILLIS = 5_000;
    private static final long LAST_LOSS_MILLIS = 45_000;
    private static final int LOSSES = 4;
    private static final int TARGETS = 6;
    /** Number of daemons among which one sees progress at the targets. */
    private static final int DAEMONS_PER_WITNESS = 3;

    private final List<UpstreamEntry> entries = new ArrayList<>();
    private final Map<Daemon, TargetSurvival> survivals = new HashMap<>();
    private final List<LossyRequest> requests = new ArrayList<>();
    /** Requests that were refused at a daemon that had had time to learn that the targets go on. */
    int lateRefusals;
    /** Requests that were refused before. */
    int earlyRefusals;

    /** A request and where its answers were lost. */
    private static final class LossyRequest {
        private final CrashSubject subject;
        private final Set<Daemon> daemons = new HashSet<>();
        private long lastLossMillis;

        private LossyRequest(CrashSubject subject) {
            this.subject = subject;
        }
    }

    LostAnswerSimulation(long seed, int size) {
        super(seed, size, true);
        for (int i = 0; i < TARGETS; i++) {
            entries.add(entry(i));
        }
    }

    private static UpstreamEntry entry(int number) {
        return new UpstreamEntry(
                new InstanceId("desk-" + number),
                1,
                0,
                new ServiceName("desk"),
                new Endpoint("127.0.0.1", 1 + number),
                new FailureDomain("zone-0"),
                6,
                false,
                "",
                List.of(),
                List.of(),
                Optional.empty());
    }

    private TargetKey target(int number) {
        return TargetKey.of(entries.get(number).id(), entries.get(number).startedAtEpochMillis());
    }

    @Override
    void scheduleLoad() {
        daemons.forEach(this::onRestart);
        for (int i = 0; i < daemons.size(); i++) {
            Daemon daemon = daemons.get(i);
            boolean witness = i % DAEMONS_PER_WITNESS == 0;
            scheduleAt(random.nextLong(TICK_MILLIS), () -> tick(daemon, witness));
        }
        scheduleAt(1_000, this::injectFault);
        scheduleAt(2_000, this::loseAnswers);
        scheduleAt(2_500, this::check);
    }

    @Override
    void onRestart(Daemon daemon) {
        TargetSurvival survival = new TargetSurvival(HEARTBEAT_MILLIS);
        Set<TargetKey> serving = new HashSet<>();
        for (int i = 0; i < TARGETS; i++) {
            serving.add(target(i));
        }
        survival.observe(serving, entries, now);
        survivals.put(daemon, survival);
    }

    private void tick(Daemon daemon, boolean witness) {
        scheduleAfter(TICK_MILLIS, () -> tick(daemon, witness));
        if (daemon.running(now)) {
            TargetSurvival survival = survivals.get(daemon);
            survival.recordListed(now);
            daemon.history.refuteCrashes(survival, target -> witness ? now : 0, now);
        }
    }

    private void loseAnswers() {
        LossyRequest request = new LossyRequest(new CrashSubject(requests.size() + 1));
        requests.add(request);
        for (int i = 0; i < LOSSES; i++) {
            Daemon daemon = randomRunningDaemon();
            TargetKey target = target(random.nextInt(TARGETS));
            long sentAt = now;
            request.daemons.add(daemon);
            observe(daemon, () -> {
                request.lastLossMillis = now;
                daemon.history.recordCrash(request.subject, target, sentAt, now);
            });
        }
        if (now < LAST_LOSS_MILLIS) {
            scheduleAfter(LOSS_INTERVAL_MILLIS, this::loseAnswers);
        }
    }

    private void check() {
        scheduleAfter(TICK_MILLIS, this::check);
        Daemon daemon = randomRunningDaemon();
        for (LossyRequest request : requests) {
            if (!daemon.history.isRefused(request.subject, now)) {
                continue;
            }
            long since = now - RECOVERY_MILLIS;
            boolean late = since > request.lastLossMillis
                    && daemon.caughtUp(now)
                    && request.daemons.stream().allMatch(loser -> loser.undisturbedSince(since));
            lateRefusals += late ? 1 : 0;
            earlyRefusals += late ? 0 : 1;
        }
    }
}
