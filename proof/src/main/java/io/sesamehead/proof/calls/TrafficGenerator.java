package io.sesamehead.proof.calls;

import io.sesamehead.proof.FaultKind;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.RunState;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Callers that send operations, some of them at several daemons at once, and repeat those that did not end whole. */
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

    private final CallSimulation world;
    private final RandomGenerator random;
    private final double keyedChance;
    private int operations;
    private int calls;

    TrafficGenerator(CallSimulation world, double keyedChance) {
        this.world = world;
        this.random = world.random();
        this.keyedChance = keyedChance;
    }

    void start() {
        for (int i = 0; i < OPERATIONS; i++) {
            world.queue().after(random.nextInt(LAST_START_MILLIS), this::startOperation);
        }
    }

    private void startOperation() {
        if (random.nextDouble() < keyedChance) {
            startKeyedOperation();
            return;
        }
        boolean nonIdempotent = random.nextDouble() < NON_IDEMPOTENT_CHANCE;
        FakeService service = random.nextDouble() < MODEL_CHANCE ? world.modelService() : world.plainService(0);
        send(operation(service, Optional.empty(), nonIdempotent), 0);
    }

    private void startKeyedOperation() {
        FakeService service = world.plainService(random.nextInt(CallSimulation.PLAIN_SERVICES));
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

    private void sendConcurrently(Operation operation, int repeats) {
        world.queue().after(random.nextInt(CONCURRENT_SPREAD_MILLIS), () -> send(operation, repeats));
    }

    /** The platform's load balancer sends no calls to daemons that are gone or not ready. */
    private void send(Operation operation, int repeats) {
        List<SimulatedDaemon> ready = world.daemons().stream()
                .filter(daemon -> daemon.process().alive())
                .filter(daemon -> !daemon.shutdownHandler().stopping() || random.nextInt(4) == 0)
                .toList();
        if (ready.isEmpty()) {
            return;
        }
        SimulatedDaemon daemon = ready.get(random.nextInt(ready.size()));
        int number = calls++;
        RequestId request = requestId(number, operation, repeats);
        long deadlineMillis = MIN_DEADLINE_MILLIS + random.nextInt(DEADLINE_SPREAD_MILLIS);
        Call call = new Call(number, operation, request, deadlineMillis, ended -> onCallEnded(ended, repeats));
        world.checker().callSent(call, daemon);
        daemon.process().bind(() -> daemon.receiveCall(call)).run();
    }

    /** Callers choose identifiers: a repeat may have that of the first call, and other requests may have it too. */
    private RequestId requestId(int number, Operation operation, int repeats) {
        if (repeats > 0 && random.nextBoolean()) {
            return new RequestId("operation-" + operation.number());
        }
        boolean common = random.nextInt(SHARED_ID_ONE_IN) == 0;
        return new RequestId(common ? "common-" + random.nextInt(SHARED_IDS) : "call-" + number);
    }

    private void onCallEnded(Call call, int repeats) {
        world.checker().callEnded(call);
        boolean comesBack = call.response().map(TrafficGenerator::retryable).orElse(true);
        boolean safe = call.operation().retryable() || call.operation().key().isPresent() || notRun(call);
        if (comesBack && safe && repeats < MAX_RETRIES) {
            long millis = MIN_RETRY_DELAY_MILLIS + random.nextInt(RETRY_DELAY_SPREAD_MILLIS);
            world.queue().after(millis, () -> send(call.operation(), repeats + 1));
        }
    }

    private static boolean notRun(Call call) {
        return call.response().map(reply -> reply.runState() == RunState.NOT_RUN).orElse(false);
    }

    private static boolean retryable(CallResponse reply) {
        return reply.runState() != RunState.RAN && !reply.hasKind(ErrorKind.KEY_REUSED);
    }

    /** Draws how fast a daemon's clock runs. */
    static double clockRate(CallSimulation world, boolean quiet) {
        if (quiet) {
            return 1;
        }
        world.record().recordFault(FaultKind.CLOCK_DRIFT);
        return 0.98 + 0.04 * world.random().nextDouble();
    }
}
