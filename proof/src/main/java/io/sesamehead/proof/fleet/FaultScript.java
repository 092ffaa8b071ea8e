package io.sesamehead.proof.fleet;

import io.sesamehead.proof.FaultKind;
import io.sesamehead.state.DaemonId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Injects faults into daemons, network and store at random times; all of them end when the fault phase ends. */
final class FaultScript {
    private static final double PREFERRED_CHANCE = 0.5;
    private static final long LONGEST_FREEZE_MILLIS = 9_000;

    private final Simulation sim;
    private final Deployment deployment;
    private final long endMillis;
    private final Map<DaemonId, Integer> disturbances = new HashMap<>();
    private int activeCuts;
    private int outages;
    private int slowPhases;
    private int losses;
    private int disturbedPhases;

    FaultScript(Simulation sim, Deployment deployment, long endMillis) {
        this.sim = sim;
        this.deployment = deployment;
        this.endMillis = endMillis;
    }

    /** Injects a number of faults, each of a random kind at a random time. */
    void plan(long startMillis, int count, List<Runnable> kinds) {
        for (int i = 0; i < count; i++) {
            Runnable kind = kinds.get(sim.random().nextInt(kinds.size()));
            sim.queue().after(sim.between(startMillis, endMillis - 1), kind);
        }
    }

    /** Returns the kinds of faults that concern daemons, network and store. */
    List<Runnable> common() {
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
                this::disturbMessages);
    }

    DaemonId target() {
        if (sim.chance(PREFERRED_CHANCE) && deployment.preferredTarget().isPresent()) {
            return deployment.preferredTarget().get();
        }
        return any();
    }

    void during(long lowMillis, long highMillis, Runnable end) {
        sim.queue().after(duration(lowMillis, highMillis), end);
    }

    /** Lets a process stand still for longer than a lease. */
    void freezeBeyondLease(DaemonId daemon) {
        long millis = duration(
                FleetTimes.LEASE.ttlMillis() + FleetTimes.LEASE.longestOrderMillis() + 200, LONGEST_FREEZE_MILLIS);
        if (millis > FleetTimes.LEASE.ttlMillis()) {
            sim.record().recordFault(FaultKind.FREEZE_BEYOND_LEASE);
            freeze(daemon, millis);
        }
    }

    private DaemonId any() {
        List<DaemonId> daemons = deployment.daemonIds();
        return daemons.get(sim.random().nextInt(daemons.size()));
    }

    private long duration(long lowMillis, long highMillis) {
        return Math.min(sim.between(lowMillis, highMillis), Math.max(0, endMillis - sim.nowMillis()));
    }

    private void killDaemon() {
        DaemonId daemon = target();
        SimProcess process = deployment.process(daemon);
        if (process.dead()) {
            return;
        }
        sim.record().recordFault(FaultKind.KILL);
        process.kill();
        disturb(daemon);
        during(100, 6_000, () -> {
            deployment.start(daemon);
            calm(daemon);
        });
    }

    private void freezeDaemon() {
        sim.record().recordFault(FaultKind.FREEZE);
        freeze(target(), duration(50, 2_500));
    }

    private void freezeBeyondLease() {
        freezeBeyondLease(target());
    }

    private void freeze(DaemonId daemon, long millis) {
        deployment.process(daemon).freeze(millis);
        disturb(daemon);
        sim.queue().after(millis, () -> calm(daemon));
    }

    private void cutOneWay() {
        DaemonId from = target();
        DaemonId to = any();
        sim.network().cutOneWay(from.value(), to.value());
        cutUntilLater(List.of(from, to));
    }

    private void cutBothWays() {
        DaemonId alone = target();
        List<DaemonId> all = deployment.daemonIds();
        int side = sim.random().nextInt(all.size());
        for (DaemonId other : all.subList(0, Math.max(1, side))) {
            sim.network().cutBothWays(alone.value(), other.value());
        }
        cutUntilLater(all);
    }

    private void cutFromStore() {
        String daemon = target().value();
        if (sim.chance(0.5)) {
            sim.network().cutOneWay(StoreClient.STORE, daemon);
        } else {
            sim.network().cutBothWays(daemon, StoreClient.STORE);
        }
        cutUntilLater(List.of());
    }

    /** Overlapping cuts end together. */
    void cutUntilLater(List<DaemonId> touched) {
        activeCuts++;
        touched.forEach(this::disturb);
        during(1_000, 8_000, () -> {
            activeCuts--;
            touched.forEach(this::calm);
            if (activeCuts == 0) {
                sim.network().heal();
            }
        });
    }

    private void storeDown() {
        outages++;
        sim.store().setUnavailable(true);
        during(1_000, 9_000, () -> {
            outages--;
            sim.store().setUnavailable(outages > 0);
        });
    }

    private void storeSlow() {
        slowPhases++;
        sim.store().setMaxExtraDelay(1_500);
        during(1_000, 8_000, () -> {
            slowPhases--;
            sim.store().setMaxExtraDelay(slowPhases > 0 ? 1_500 : 0);
        });
    }

    private void loseAnswers() {
        losses++;
        sim.store().setLostResponseChance(0.5);
        during(2_000, 8_000, () -> {
            losses--;
            sim.store().setLostResponseChance(losses > 0 ? 0.5 : 0);
        });
    }

    private void restoreStore() {
        sim.store().takeSnapshot();
        during(500, 12_000, () -> {
            deployment.beforeRestore();
            sim.store().restoreSnapshot();
        });
    }

    private void disturbMessages() {
        disturbedPhases++;
        sim.network().setMessageFaults(0.1, 0.2, FleetTimes.LATE_MILLIS);
        sim.wire().late(0.2);
        during(2_000, 10_000, () -> {
            disturbedPhases--;
            if (disturbedPhases == 0) {
                sim.network().setMessageFaults(0, 0, 0);
                sim.wire().late(0);
            }
        });
    }

    private void disturb(DaemonId daemon) {
        disturbances.merge(daemon, 1, Integer::sum);
        deployment.disturbed(daemon, true);
    }

    private void calm(DaemonId daemon) {
        if (disturbances.merge(daemon, -1, Integer::sum) == 0) {
            deployment.disturbed(daemon, false);
        }
    }
}
