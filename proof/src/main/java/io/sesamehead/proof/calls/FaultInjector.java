package io.sesamehead.proof.calls;

import io.sesamehead.proof.EventQueue;
import io.sesamehead.proof.FaultKind;
import io.sesamehead.proof.RunRecord;
import java.util.List;
import java.util.random.RandomGenerator;

/** Injects faults at random times. Several faults can be active at once, and the same fault can be injected twice. */
final class FaultInjector {
    /** Faults start within this time, as do the calls of a run. */
    private static final int LAST_START_MILLIS = 3_000;

    private static final int MIN_FAULTS = 6;
    private static final int FAULT_COUNT_SPREAD = 9;
    private static final int MIN_DURATION_MILLIS = 80;
    private static final int DURATION_SPREAD_MILLIS = 500;
    private static final int MIN_LONG_FREEZE_MILLIS = 2_000;
    private static final int LONG_FREEZE_SPREAD_MILLIS = 2_500;
    private static final int MIN_RESTART_DELAY_MILLIS = 150;
    private static final int MAX_LATE_MILLIS = 250;
    private static final int MAX_STORE_DELAY_MILLIS = 700;
    private static final int SECOND_SIGNAL_SPREAD_MILLIS = 400;
    private static final int MAX_SIGNAL_POLLS = 400;
    private static final double MESSAGE_FAULT_CHANCE = 0.08;
    private static final double LOST_RESPONSE_CHANCE = 0.4;
    private static final double REFUSAL_CHANCE = 0.5;
    private static final double STREAM_BREAK_CHANCE = 0.04;
    private static final double PROCESS_FAULT_CHANCE = 0.03;

    /** Faults that can start at a random time. Clock drift is chosen when the daemons are created. */
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

    private final CallSimulation simulation;
    private final EventQueue queue;
    private final RandomGenerator random;
    private final RunRecord record;
    private final boolean faultFree;

    FaultInjector(CallSimulation simulation, boolean faultFree) {
        this.simulation = simulation;
        this.queue = simulation.queue();
        this.random = simulation.random();
        this.record = simulation.record();
        this.faultFree = faultFree;
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
        for (FaultKind kind : simulation.additionalFaults()) {
            queue.after(random.nextInt(LAST_START_MILLIS), () -> inject(kind));
        }
    }

    /**
     * Kills or freezes a daemon, with a low probability, right after the current step. Steps that the daemon schedules
     * afterwards run only after the fault, if at all.
     */
    void maybeInjectProcessFault(SimulatedDaemon daemon) {
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
        long millis = MIN_DURATION_MILLIS + random.nextInt(DURATION_SPREAD_MILLIS);
        switch (kind) {
            case KILL -> kill();
            case FREEZE -> freeze(anyProcess(), false);
            case FREEZE_BEYOND_LEASE -> freeze(anyProcess(), true);
            case CUT_ONE_WAY, CUT_BOTH_WAYS -> cut(kind, millis);
            case STORE_DOWN ->
                during(
                        millis,
                        () -> simulation.store().setUnavailable(true),
                        () -> simulation.store().setUnavailable(false));
            case STORE_SLOW ->
                during(
                        millis,
                        () -> simulation.store().setMaxExtraDelay(MAX_STORE_DELAY_MILLIS),
                        () -> simulation.store().setMaxExtraDelay(0));
            case STORE_ANSWER_LOST ->
                during(
                        millis,
                        () -> simulation.store().setLostResponseChance(LOST_RESPONSE_CHANCE),
                        () -> simulation.store().setLostResponseChance(0));
            case DELAY ->
                during(
                        millis,
                        () -> simulation
                                .network()
                                .setMessageFaults(MESSAGE_FAULT_CHANCE, MESSAGE_FAULT_CHANCE, MAX_LATE_MILLIS),
                        () -> simulation.network().setMessageFaults(0, 0, 0));
            case TORN_STREAM ->
                during(
                        millis,
                        () -> simulation.upstreamFaults().setChances(0, STREAM_BREAK_CHANCE),
                        () -> simulation.upstreamFaults().setChances(0, 0));
            case REFUSAL ->
                during(
                        millis,
                        () -> simulation.upstreamFaults().setChances(REFUSAL_CHANCE, 0),
                        () -> simulation.upstreamFaults().setChances(0, 0));
            case STOP_SIGNAL -> stopWhenBusy(anyDaemon(), MAX_SIGNAL_POLLS);
            default -> throw new IllegalStateException("fault is not injected at a random time: " + kind);
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
                simulation.upstreams().get(random.nextInt(simulation.upstreams().size()));
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
            simulation.checker().daemonKilled(daemon);
            queue.after(restartDelayMillis(), daemon::boot);
        }
    }

    private void freeze(SimulatedProcess process, boolean beyondLease) {
        if (process.running()) {
            record.recordFault(beyondLease ? FaultKind.FREEZE_BEYOND_LEASE : FaultKind.FREEZE);
            int millis = beyondLease
                    ? MIN_LONG_FREEZE_MILLIS + random.nextInt(LONG_FREEZE_SPREAD_MILLIS)
                    : MIN_DURATION_MILLIS + random.nextInt(DURATION_SPREAD_MILLIS);
            process.freeze(millis);
        }
    }

    private void cut(FaultKind kind, long millis) {
        String daemon = anyDaemon().name();
        String other = random.nextBoolean()
                ? StoreClient.NAME
                : simulation
                        .upstreams()
                        .get(random.nextInt(simulation.upstreams().size()))
                        .name();
        if (kind == FaultKind.CUT_BOTH_WAYS) {
            simulation.network().cutBothWays(daemon, other);
        } else if (random.nextBoolean()) {
            simulation.network().cutOneWay(daemon, other);
        } else {
            simulation.network().cutOneWay(other, daemon);
        }
        queue.after(millis, simulation.network()::heal);
    }

    /**
     * Sends a stop signal as soon as a watch, a lease renewal, an order and a stream are all in flight, or after the
     * last poll. Polls every millisecond.
     */
    private void stopWhenBusy(SimulatedDaemon daemon, int remainingPolls) {
        if (!daemon.process().running() || daemon.shutdownHandler().stopping()) {
            return;
        }
        boolean busy = daemon.controlTasks().allInFlight()
                && daemon.openHandlers().stream().anyMatch(CallHandler::streaming);
        if (!busy && remainingPolls > 0) {
            queue.after(1, () -> stopWhenBusy(daemon, remainingPolls - 1));
            return;
        }
        record.recordFault(FaultKind.STOP_SIGNAL);
        ShutdownHandler shutdownHandler = daemon.shutdownHandler();
        shutdownHandler.signal();
        if (random.nextInt(4) == 0) {
            daemon.process().after(random.nextInt(SECOND_SIGNAL_SPREAD_MILLIS), shutdownHandler::signal);
        }
    }

    private SimulatedDaemon anyDaemon() {
        return simulation.daemons().get(random.nextInt(simulation.daemons().size()));
    }

    private SimulatedProcess anyProcess() {
        return random.nextBoolean()
                ? anyDaemon().process()
                : simulation
                        .upstreams()
                        .get(random.nextInt(simulation.upstreams().size()))
                        .process();
    }

    private long restartDelayMillis() {
        return MIN_RESTART_DELAY_MILLIS + random.nextInt(DURATION_SPREAD_MILLIS);
    }
}
