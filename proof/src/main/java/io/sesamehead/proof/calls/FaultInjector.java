package io.sesamehead.proof.calls;

import io.sesamehead.proof.EventQueue;
import io.sesamehead.proof.FaultKind;
import io.sesamehead.proof.RunRecord;
import java.util.List;
import java.util.random.RandomGenerator;

/** Injects faults at random times, also several at once and the same one twice. */
final class FaultInjector {
    /** Faults start within this time; the calls of a run do too. */
    private static final int LAST_START_MILLIS = 3_000;

    private static final int MIN_FAULTS = 6;
    private static final int FAULT_COUNT_SPREAD = 9;
    private static final int MIN_FAULT_MILLIS = 80;
    private static final int FAULT_SPREAD_MILLIS = 500;
    private static final int LONG_FREEZE_MILLIS = 2_000;
    private static final int LONG_FREEZE_SPREAD_MILLIS = 2_500;
    private static final int MIN_RESTART_DELAY_MILLIS = 150;
    private static final int MAX_LATE_MILLIS = 250;
    private static final int MAX_STORE_DELAY_MILLIS = 700;
    private static final int SECOND_SIGNAL_SPREAD_MILLIS = 400;
    private static final int SIGNAL_POLLS = 400;
    private static final double MESSAGE_FAULT_CHANCE = 0.08;
    private static final double LOST_RESPONSE_CHANCE = 0.4;
    private static final double REFUSAL_CHANCE = 0.5;
    private static final double STREAM_BREAK_CHANCE = 0.04;
    private static final double PROCESS_FAULT_CHANCE = 0.03;

    /** What can start at a random time; drift is decided when the daemons are made. */
    private static final List<FaultKind> KINDS = List.of(
            FaultKind.KILL,
            FaultKind.FREEZE,
            FaultKind.FREEZE_BEYOND_LEASE,
            FaultKind.CUT_ONE_WAY,
            FaultKind.CUT_BOTH_WAYS,
            FaultKind.STORE_DOWN,
            FaultKind.STORE_SLOW,
            FaultKind.STORE_ANSWER_LOST,
            FaultKind.DELAY,
            FaultKind.TORN_STREAM,
            FaultKind.REFUSAL,
            FaultKind.STOP_SIGNAL);

    private final CallSimulation world;
    private final EventQueue queue;
    private final RandomGenerator random;
    private final RunRecord record;
    private final boolean faultFree;

    FaultInjector(CallSimulation world, boolean quiet) {
        this.world = world;
        this.queue = world.queue();
        this.random = world.random();
        this.record = world.record();
        this.faultFree = quiet;
    }

    void start() {
        if (faultFree) {
            return;
        }
        int count = MIN_FAULTS + random.nextInt(FAULT_COUNT_SPREAD);
        for (int i = 0; i < count; i++) {
            FaultKind kind = KINDS.get(random.nextInt(KINDS.size()));
            queue.after(random.nextInt(LAST_START_MILLIS), () -> inject(kind));
        }
        for (FaultKind kind : world.additionalFaults()) {
            queue.after(random.nextInt(LAST_START_MILLIS), () -> inject(kind));
        }
    }

    /**
     * Kills or freezes a daemon, with a small chance, right after the present step. Steps that the daemon schedules
     * afterwards come too late.
     */
    void mayInjectProcessFault(SimulatedDaemon daemon) {
        if (!faultFree && random.nextDouble() < PROCESS_FAULT_CHANCE) {
            boolean kill = random.nextBoolean();
            boolean beyondLease = random.nextBoolean();
            queue.after(0, daemon.process().bind(() -> injectProcessFault(daemon, kill, beyondLease)));
        }
    }

    private void injectProcessFault(SimulatedDaemon daemon, boolean kill, boolean beyondLease) {
        if (kill) {
            killDaemon(daemon);
        } else {
            freeze(daemon.process(), beyondLease);
        }
    }

    private void inject(FaultKind kind) {
        long millis = MIN_FAULT_MILLIS + random.nextInt(FAULT_SPREAD_MILLIS);
        switch (kind) {
            case KILL -> kill();
            case FREEZE -> freeze(anyProcess(), false);
            case FREEZE_BEYOND_LEASE -> freeze(anyProcess(), true);
            case CUT_ONE_WAY, CUT_BOTH_WAYS -> cut(kind, millis);
            case STORE_DOWN ->
                during(
                        millis,
                        () -> world.store().setUnavailable(true),
                        () -> world.store().setUnavailable(false));
            case STORE_SLOW ->
                during(
                        millis,
                        () -> world.store().setMaxExtraDelay(MAX_STORE_DELAY_MILLIS),
                        () -> world.store().setMaxExtraDelay(0));
            case STORE_ANSWER_LOST ->
                during(
                        millis,
                        () -> world.store().setLostResponseChance(LOST_RESPONSE_CHANCE),
                        () -> world.store().setLostResponseChance(0));
            case DELAY ->
                during(
                        millis,
                        () -> world.network().setMessageFaults(MESSAGE_FAULT_CHANCE, MESSAGE_FAULT_CHANCE, MAX_LATE_MILLIS),
                        () -> world.network().setMessageFaults(0, 0, 0));
            case TORN_STREAM ->
                during(
                        millis,
                        () -> world.upstreamFaults().setChances(0, STREAM_BREAK_CHANCE),
                        () -> world.upstreamFaults().setChances(0, 0));
            case REFUSAL ->
                during(
                        millis,
                        () -> world.upstreamFaults().setChances(REFUSAL_CHANCE, 0),
                        () -> world.upstreamFaults().setChances(0, 0));
            case STOP_SIGNAL -> stopWhenBusy(anyDaemon(), SIGNAL_POLLS);
            default -> throw new IllegalStateException("not injected at a random time: " + kind);
        }
    }

    private void during(long millis, Runnable start, Runnable end) {
        start.run();
        queue.after(millis, end);
    }

    private void kill() {
        if (random.nextBoolean()) {
            killDaemon(anyDaemon());
            return;
        }
        Upstream upstream =
                world.upstreams().get(random.nextInt(world.upstreams().size()));
        if (upstream.process().alive()) {
            record.recordFault(FaultKind.KILL);
            upstream.kill();
            queue.after(restartDelayMillis(), upstream.process()::start);
        }
    }

    private void killDaemon(SimulatedDaemon daemon) {
        if (daemon.process().alive()) {
            record.recordFault(FaultKind.KILL);
            daemon.process().kill();
            world.checker().daemonKilled(daemon);
            queue.after(restartDelayMillis(), daemon::boot);
        }
    }

    private void freeze(SimulatedProcess process, boolean beyondLease) {
        if (process.running()) {
            record.recordFault(beyondLease ? FaultKind.FREEZE_BEYOND_LEASE : FaultKind.FREEZE);
            int millis = beyondLease
                    ? LONG_FREEZE_MILLIS + random.nextInt(LONG_FREEZE_SPREAD_MILLIS)
                    : MIN_FAULT_MILLIS + random.nextInt(FAULT_SPREAD_MILLIS);
            process.freeze(millis);
        }
    }

    private void cut(FaultKind kind, long millis) {
        String daemon = anyDaemon().name();
        String other = random.nextBoolean()
                ? StoreClient.NAME
                : world.upstreams()
                        .get(random.nextInt(world.upstreams().size()))
                        .name();
        if (kind == FaultKind.CUT_BOTH_WAYS) {
            world.network().cutBothWays(daemon, other);
        } else if (random.nextBoolean()) {
            world.network().cutOneWay(daemon, other);
        } else {
            world.network().cutOneWay(other, daemon);
        }
        queue.after(millis, world.network()::heal);
    }

    /** Waits a while for a moment at which a watch, a renewal, an order and a stream are open. */
    private void stopWhenBusy(SimulatedDaemon daemon, int polls) {
        if (!daemon.process().running() || daemon.shutdownHandler().stopping()) {
            return;
        }
        boolean busy = daemon.controlTasks().allInFlight() && daemon.openHandlers().stream().anyMatch(CallHandler::streaming);
        if (!busy && polls > 0) {
            queue.after(1, () -> stopWhenBusy(daemon, polls - 1));
            return;
        }
        record.recordFault(FaultKind.STOP_SIGNAL);
        ShutdownHandler stop = daemon.shutdownHandler();
        stop.signal();
        if (random.nextInt(4) == 0) {
            daemon.process().after(random.nextInt(SECOND_SIGNAL_SPREAD_MILLIS), stop::signal);
        }
    }

    private SimulatedDaemon anyDaemon() {
        return world.daemons().get(random.nextInt(world.daemons().size()));
    }

    private SimulatedProcess anyProcess() {
        return random.nextBoolean()
                ? anyDaemon().process()
                : world.upstreams()
                        .get(random.nextInt(world.upstreams().size()))
                        .process();
    }

    private long restartDelayMillis() {
        return MIN_RESTART_DELAY_MILLIS + random.nextInt(FAULT_SPREAD_MILLIS);
    }
}
