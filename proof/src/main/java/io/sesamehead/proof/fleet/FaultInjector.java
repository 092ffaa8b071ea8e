package io.sesamehead.proof.fleet;

import io.sesamehead.proof.FaultKind;
import io.sesamehead.state.DaemonId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Injects faults into daemons, network and store at random times; all of them end when the fault phase ends. */
final class FaultInjector {
    private static final double PREFERRED_TARGET_PROBABILITY = 0.5;
    private static final long MAX_FREEZE_MILLIS = 9_000;

    private final SimulationContext context;
    private final Deployment deployment;
    private final long endMillis;
    private final Map<DaemonId, Integer> disturbances = new HashMap<>();
    private int activeCuts;
    private int activeOutages;
    private int activeSlowPhases;
    private int activeAnswerLossPhases;
    private int activeMessageFaultPhases;

    FaultInjector(SimulationContext sim, Deployment deployment, long endMillis) {
        this.context = sim;
        this.deployment = deployment;
        this.endMillis = endMillis;
    }

    /** Injects a number of faults, each of a random kind at a random time. */
    void scheduleFaults(long startMillis, int count, List<Runnable> kinds) {
        for (int i = 0; i < count; i++) {
            Runnable kind = kinds.get(context.random().nextInt(kinds.size()));
            context.queue().after(context.randomMillis(startMillis, endMillis - 1), kind);
        }
    }

    /** Returns the kinds of faults that concern daemons, network and store. */
    List<Runnable> commonFaults() {
        return List.of(
                this::killDaemon,
                this::freezeDaemon,
                this::freezeBeyondLease,
                this::cutOneWay,
                this::cutBothWays,
                this::cutFromStore,
                this::storeDown,
                this::storeSlow,
                this::loseAnswers,
                this::restoreStore,
                this::delayAndDuplicateMessages);
    }

    DaemonId randomTarget() {
        if (context.randomBoolean(PREFERRED_TARGET_PROBABILITY)
                && deployment.preferredTarget().isPresent()) {
            return deployment.preferredTarget().get();
        }
        return randomDaemon();
    }

    void scheduleEnd(long lowMillis, long highMillis, Runnable end) {
        context.queue().after(randomDurationMillis(lowMillis, highMillis), end);
    }

    /** Lets a process stand still for longer than a lease. */
    void freezeBeyondLease(DaemonId daemon) {
        long millis = randomDurationMillis(
                FleetTimings.LEASE.ttlMillis() + FleetTimings.LEASE.longestOrderMillis() + 200, MAX_FREEZE_MILLIS);
        if (millis > FleetTimings.LEASE.ttlMillis()) {
            context.record().recordFault(FaultKind.FREEZE_BEYOND_LEASE);
            freeze(daemon, millis);
        }
    }

    private DaemonId randomDaemon() {
        List<DaemonId> daemons = deployment.daemonIds();
        return daemons.get(context.random().nextInt(daemons.size()));
    }

    private long randomDurationMillis(long lowMillis, long highMillis) {
        return Math.min(context.randomMillis(lowMillis, highMillis), Math.max(0, endMillis - context.nowMillis()));
    }

    private void killDaemon() {
        DaemonId daemon = randomTarget();
        SimProcess process = deployment.process(daemon);
        if (process.dead()) {
            return;
        }
        context.record().recordFault(FaultKind.KILL);
        process.kill();
        beginDisturbance(daemon);
        scheduleEnd(100, 6_000, () -> {
            deployment.start(daemon);
            endDisturbance(daemon);
        });
    }

    private void freezeDaemon() {
        context.record().recordFault(FaultKind.FREEZE);
        freeze(randomTarget(), randomDurationMillis(50, 2_500));
    }

    private void freezeBeyondLease() {
        freezeBeyondLease(randomTarget());
    }

    private void freeze(DaemonId daemon, long millis) {
        deployment.process(daemon).freeze(millis);
        beginDisturbance(daemon);
        context.queue().after(millis, () -> endDisturbance(daemon));
    }

    private void cutOneWay() {
        DaemonId from = randomTarget();
        DaemonId to = randomDaemon();
        context.network().cutOneWay(from.value(), to.value());
        scheduleHeal(List.of(from, to));
    }

    private void cutBothWays() {
        DaemonId alone = randomTarget();
        List<DaemonId> all = deployment.daemonIds();
        int side = context.random().nextInt(all.size());
        for (DaemonId other : all.subList(0, Math.max(1, side))) {
            context.network().cutBothWays(alone.value(), other.value());
        }
        scheduleHeal(all);
    }

    private void cutFromStore() {
        String daemon = randomTarget().value();
        if (context.randomBoolean(0.5)) {
            context.network().cutOneWay(StoreClient.STORE, daemon);
        } else {
            context.network().cutBothWays(daemon, StoreClient.STORE);
        }
        scheduleHeal(List.of());
    }

    /** Overlapping cuts end together. */
    void scheduleHeal(List<DaemonId> touched) {
        activeCuts++;
        touched.forEach(this::beginDisturbance);
        scheduleEnd(1_000, 8_000, () -> {
            activeCuts--;
            touched.forEach(this::endDisturbance);
            if (activeCuts == 0) {
                context.network().heal();
            }
        });
    }

    private void storeDown() {
        activeOutages++;
        context.store().setUnavailable(true);
        scheduleEnd(1_000, 9_000, () -> {
            activeOutages--;
            context.store().setUnavailable(activeOutages > 0);
        });
    }

    private void storeSlow() {
        activeSlowPhases++;
        context.store().setMaxExtraDelay(1_500);
        scheduleEnd(1_000, 8_000, () -> {
            activeSlowPhases--;
            context.store().setMaxExtraDelay(activeSlowPhases > 0 ? 1_500 : 0);
        });
    }

    private void loseAnswers() {
        activeAnswerLossPhases++;
        context.store().setLostResponseChance(0.5);
        scheduleEnd(2_000, 8_000, () -> {
            activeAnswerLossPhases--;
            context.store().setLostResponseChance(activeAnswerLossPhases > 0 ? 0.5 : 0);
        });
    }

    private void restoreStore() {
        context.store().takeSnapshot();
        scheduleEnd(500, 12_000, () -> {
            deployment.beforeRestore();
            context.store().restoreSnapshot();
        });
    }

    private void delayAndDuplicateMessages() {
        activeMessageFaultPhases++;
        context.network().setMessageFaults(0.1, 0.2, FleetTimings.MAX_EXTRA_DELAY_MILLIS);
        context.transport().setLateProbability(0.2);
        scheduleEnd(2_000, 10_000, () -> {
            activeMessageFaultPhases--;
            if (activeMessageFaultPhases == 0) {
                context.network().setMessageFaults(0, 0, 0);
                context.transport().setLateProbability(0);
            }
        });
    }

    private void beginDisturbance(DaemonId daemon) {
        disturbances.merge(daemon, 1, Integer::sum);
        deployment.disturbanceChanged(daemon, true);
    }

    private void endDisturbance(DaemonId daemon) {
        if (disturbances.merge(daemon, -1, Integer::sum) == 0) {
            deployment.disturbanceChanged(daemon, false);
        }
    }
}
