package io.sesamehead.proof.calls;

import io.sesamehead.proof.FaultKind;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.RunState;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Callers that send operations, some of them at several daemons at once, and repeat those that did not end whole. */
final class Callers {
    private static final int OPERATIONS = 45;
    private static final int LAST_START_MILLIS = 3_000;
    private static final int MIN_DEADLINE_MILLIS = 500;
    private static final int DEADLINE_SPREAD_MILLIS = 1_500;
    private static final int MAX_TOKENS = 25;
    private static final int MAX_REPEATS = 3;
    private static final int REPEAT_MILLIS = 50;
    private static final int REPEAT_SPREAD_MILLIS = 400;
    private static final int AT_ONCE_MILLIS = 6;
    private static final int COMMON_IDS = 3;
    private static final int COMMON_ID_ONE_IN = 4;
    private static final double TWINS_CHANCE = 0.4;
    private static final double KEY_REUSE_CHANCE = 0.15;
    private static final double NON_IDEMPOTENT_CHANCE = 0.5;
    private static final double MODEL_CHANCE = 0.6;

    private final World world;
    private final RandomGenerator random;
    private final double keyedChance;
    private int operations;
    private int calls;

    Callers(World world, double keyedChance) {
        this.world = world;
        this.random = world.random();
        this.keyedChance = keyedChance;
    }

    void start() {
        for (int i = 0; i < OPERATIONS; i++) {
            world.queue().after(random.nextInt(LAST_START_MILLIS), this::begin);
        }
    }

    private void begin() {
        if (random.nextDouble() < keyedChance) {
            beginKeyed();
            return;
        }
        boolean nonIdempotent = random.nextDouble() < NON_IDEMPOTENT_CHANCE;
        FakeService service = random.nextDouble() < MODEL_CHANCE ? world.assistant() : world.keyedService(0);
        send(operation(service, Optional.empty(), nonIdempotent), 0);
    }

    private void beginKeyed() {
        FakeService service = world.keyedService(random.nextInt(World.KEYED_SERVICES));
        String key = "key-" + operations;
        Operation operation = operation(service, Optional.of(key), true);
        send(operation, 0);
        if (random.nextDouble() < TWINS_CHANCE) {
            sendSoon(operation, 0);
            sendSoon(operation, 0);
        }
        if (random.nextDouble() < KEY_REUSE_CHANCE) {
            sendSoon(operation(service, Optional.of(key), true), MAX_REPEATS);
        }
    }

    private Operation operation(FakeService service, Optional<String> key, boolean nonIdempotent) {
        int number = operations++;
        return new Operation(number, service, "body-" + number, key, nonIdempotent, 1 + random.nextInt(MAX_TOKENS));
    }

    private void sendSoon(Operation operation, int repeats) {
        world.queue().after(random.nextInt(AT_ONCE_MILLIS), () -> send(operation, repeats));
    }

    /** The platform's load balancer sends no calls to daemons that are gone or not ready. */
    private void send(Operation operation, int repeats) {
        List<CallsDaemon> ready = world.daemons().stream()
                .filter(daemon -> daemon.process().alive())
                .filter(daemon -> !daemon.stop().stopping() || random.nextInt(4) == 0)
                .toList();
        if (ready.isEmpty()) {
            return;
        }
        CallsDaemon daemon = ready.get(random.nextInt(ready.size()));
        int number = calls++;
        RequestId request = requestId(number, operation, repeats);
        long deadlineMillis = MIN_DEADLINE_MILLIS + random.nextInt(DEADLINE_SPREAD_MILLIS);
        Call call = new Call(number, operation, request, deadlineMillis, ended -> afterEnd(ended, repeats));
        world.checks().sent(call, daemon);
        daemon.process().step(() -> daemon.arrive(call)).run();
    }

    /** Callers choose identifiers: a repeat may have that of the first call, and other requests may have it too. */
    private RequestId requestId(int number, Operation operation, int repeats) {
        if (repeats > 0 && random.nextBoolean()) {
            return new RequestId("operation-" + operation.number());
        }
        boolean common = random.nextInt(COMMON_ID_ONE_IN) == 0;
        return new RequestId(common ? "common-" + random.nextInt(COMMON_IDS) : "call-" + number);
    }

    private void afterEnd(Call call, int repeats) {
        world.checks().ended(call);
        boolean comesBack = call.reply().map(Callers::worthRepeating).orElse(true);
        boolean safe = call.operation().repeatable() || call.operation().key().isPresent() || notRun(call);
        if (comesBack && safe && repeats < MAX_REPEATS) {
            long millis = REPEAT_MILLIS + random.nextInt(REPEAT_SPREAD_MILLIS);
            world.queue().after(millis, () -> send(call.operation(), repeats + 1));
        }
    }

    private static boolean notRun(Call call) {
        return call.reply().map(reply -> reply.runState() == RunState.NOT_RUN).orElse(false);
    }

    private static boolean worthRepeating(Reply reply) {
        return reply.runState() != RunState.RAN && !reply.hasKind(ErrorKind.KEY_REUSED);
    }

    /** Draws how fast a daemon's clock runs. */
    static double clockRate(World world, boolean quiet) {
        if (quiet) {
            return 1;
        }
        world.record().injected(FaultKind.CLOCK_DRIFT);
        return 0.98 + 0.04 * world.random().nextDouble();
    }
}
