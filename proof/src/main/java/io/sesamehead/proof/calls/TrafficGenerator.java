package io.sesamehead.proof.calls;

import io.sesamehead.proof.FaultKind;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.RunState;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Generates the calls of a run. Some operations are sent to several daemons concurrently, and operations that did not
 * complete are retried.
 */
final class TrafficGenerator {
    private static final int OPERATIONS = 45;
    private static final int LAST_START_MILLIS = 3_000;
    private static final int MIN_DEADLINE_MILLIS = 500;
    private static final int DEADLINE_SPREAD_MILLIS = 1_500;
    private static final int MAX_TOKENS = 25;
    private static final int MAX_RETRIES = 3;
    private static final int MIN_RETRY_DELAY_MILLIS = 50;
    private static final int RETRY_DELAY_SPREAD_MILLIS = 400;
    private static final int CONCURRENT_SPREAD_MILLIS = 6;
    private static final int SHARED_IDS = 3;
    private static final int SHARED_ID_ONE_IN = 4;
    private static final double CONCURRENT_DUPLICATES_CHANCE = 0.4;
    private static final double KEY_REUSE_CHANCE = 0.15;
    private static final double NON_IDEMPOTENT_CHANCE = 0.5;
    private static final double MODEL_CHANCE = 0.6;

    private final CallSimulation simulation;
    private final RandomGenerator random;
    private final double keyedChance;
    private int operations;
    private int calls;

    TrafficGenerator(CallSimulation simulation, double keyedChance) {
        this.simulation = simulation;
        this.random = simulation.random();
        this.keyedChance = keyedChance;
    }

    void start() {
        for (int i = 0; i < OPERATIONS; i++) {
            simulation.queue().after(random.nextInt(LAST_START_MILLIS), this::startOperation);
        }
    }

    private void startOperation() {
        if (random.nextDouble() < keyedChance) {
            startKeyedOperation();
            return;
        }
        boolean nonIdempotent = random.nextDouble() < NON_IDEMPOTENT_CHANCE;
        FakeService service =
                random.nextDouble() < MODEL_CHANCE ? simulation.modelService() : simulation.plainService(0);
        send(operation(service, Optional.empty(), nonIdempotent), 0);
    }

    private void startKeyedOperation() {
        FakeService service = simulation.plainService(random.nextInt(CallSimulation.PLAIN_SERVICES));
        String key = "key-" + operations;
        Operation operation = operation(service, Optional.of(key), true);
        send(operation, 0);
        if (random.nextDouble() < CONCURRENT_DUPLICATES_CHANCE) {
            sendConcurrently(operation, 0);
            sendConcurrently(operation, 0);
        }
        if (random.nextDouble() < KEY_REUSE_CHANCE) {
            sendConcurrently(operation(service, Optional.of(key), true), MAX_RETRIES);
        }
    }

    private Operation operation(FakeService service, Optional<String> key, boolean nonIdempotent) {
        int number = operations++;
        return new Operation(number, service, "body-" + number, key, nonIdempotent, 1 + random.nextInt(MAX_TOKENS));
    }

    private void sendConcurrently(Operation operation, int retries) {
        simulation.queue().after(random.nextInt(CONCURRENT_SPREAD_MILLIS), () -> send(operation, retries));
    }

    /**
     * Sends a call to a random daemon. Like the platform's load balancer, it skips daemons that have exited, and
     * usually those that are stopping and thus not ready.
     */
    private void send(Operation operation, int retries) {
        List<SimulatedDaemon> ready = simulation.daemons().stream()
                .filter(daemon -> daemon.process().alive())
                .filter(daemon -> !daemon.shutdownHandler().stopping() || random.nextInt(4) == 0)
                .toList();
        if (ready.isEmpty()) {
            return;
        }
        SimulatedDaemon daemon = ready.get(random.nextInt(ready.size()));
        int number = calls++;
        RequestId request = requestId(number, operation, retries);
        long deadlineMillis = MIN_DEADLINE_MILLIS + random.nextInt(DEADLINE_SPREAD_MILLIS);
        Call call = new Call(number, operation, request, deadlineMillis, ended -> onCallEnded(ended, retries));
        simulation.checker().callSent(call, daemon);
        daemon.process().bind(() -> daemon.receiveCall(call)).run();
    }

    /**
     * Chooses a request ID as callers would: retries may reuse the ID of an earlier call, and unrelated calls may share
     * one.
     */
    private RequestId requestId(int number, Operation operation, int retries) {
        if (retries > 0 && random.nextBoolean()) {
            return new RequestId("operation-" + operation.number());
        }
        boolean shared = random.nextInt(SHARED_ID_ONE_IN) == 0;
        return new RequestId(shared ? "common-" + random.nextInt(SHARED_IDS) : "call-" + number);
    }

    private void onCallEnded(Call call, int retries) {
        simulation.checker().callEnded(call);
        boolean wantsRetry = call.response().map(TrafficGenerator::retryable).orElse(true);
        boolean safe = call.operation().retryable() || call.operation().key().isPresent() || notRun(call);
        if (wantsRetry && safe && retries < MAX_RETRIES) {
            long millis = MIN_RETRY_DELAY_MILLIS + random.nextInt(RETRY_DELAY_SPREAD_MILLIS);
            simulation.queue().after(millis, () -> send(call.operation(), retries + 1));
        }
    }

    private static boolean notRun(Call call) {
        return call.response()
                .map(response -> response.runState() == RunState.NOT_RUN)
                .orElse(false);
    }

    private static boolean retryable(CallResponse response) {
        return response.runState() != RunState.RAN && !response.hasKind(ErrorKind.KEY_REUSED);
    }

    /** Returns a random clock rate for a daemon, within 2% of real time; 1 in a fault-free run. */
    static double clockRate(CallSimulation simulation, boolean faultFree) {
        if (faultFree) {
            return 1;
        }
        simulation.record().recordFault(FaultKind.CLOCK_DRIFT);
        return 0.98 + 0.04 * simulation.random().nextDouble();
    }
}
