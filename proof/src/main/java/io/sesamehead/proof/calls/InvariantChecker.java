package io.sesamehead.proof.calls;

import io.sesamehead.proof.Invariant;
import io.sesamehead.proof.RunRecord;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RunState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Compares, from outside, what the upstreams ran with what the callers were told. */
final class InvariantChecker {
    /** Share of the operations that a run without faults carries out. */
    private static final double MIN_SERVED_SHARE = 0.95;

    private final CallSimulation world;
    private final RunRecord record;
    private final Invariant invariant;
    private final List<Call> calls = new ArrayList<>();
    private final Map<Call, SimulatedDaemon> openAt = new LinkedHashMap<>();
    private final Map<Call, Integer> executions = new HashMap<>();
    private final Map<SimulatedDaemon, Set<Call>> openAtSignal = new HashMap<>();
    private int stopsWithAllInFlight;
    private int uninterruptedExits;

    InvariantChecker(CallSimulation world, RunRecord record, Invariant invariant) {
        this.world = world;
        this.record = record;
        this.invariant = invariant;
    }

    void callSent(Call call, SimulatedDaemon daemon) {
        calls.add(call);
        openAt.put(call, daemon);
    }

    void callEnded(Call call) {
        openAt.remove(call);
    }

    void callExecuted(Call call) {
        executions.merge(call, 1, Integer::sum);
    }

    /** The callers of a killed daemon see their connections break. */
    void daemonKilled(SimulatedDaemon daemon) {
        List.copyOf(openAt.entrySet()).stream()
                .filter(entry -> entry.getValue() == daemon)
                .forEach(entry -> entry.getKey().loseConnection());
        openAtSignal.remove(daemon);
    }

    void stopSignalled(SimulatedDaemon daemon) {
        openAtSignal.put(daemon, openCalls(daemon));
        boolean streaming = daemon.openHandlers().stream().anyMatch(CallHandler::streaming);
        if (streaming && daemon.controlTasks().allInFlight()) {
            stopsWithAllInFlight++;
        }
    }

    void leaseReleased(SimulatedDaemon daemon, int ordersInFlight) {
        if (invariant == Invariant.GRACEFUL_STOP) {
            check(ordersInFlight == 0, daemon.name() + " gave its lease back with orders in flight");
        }
    }

    /** Called before the open calls are answered. */
    void daemonExiting(SimulatedDaemon daemon, boolean mayInterrupt) {
        if (invariant == Invariant.GRACEFUL_STOP && !mayInterrupt) {
            uninterruptedExits++;
            for (Call call : openAtSignal.getOrDefault(daemon, Set.of())) {
                check(call.response().isPresent(), daemon.name() + " interrupts " + call + " by its exit");
                boolean refused = call.response()
                        .map(reply -> reply.hasKind(ErrorKind.SHUTTING_DOWN))
                        .orElse(false);
                check(!refused, daemon.name() + " refused, at its stop, the accepted " + call);
            }
        }
    }

    /** Called once a stopping daemon is gone. */
    void daemonExited(SimulatedDaemon daemon) {
        Set<Call> unanswered = openCalls(daemon);
        if (invariant == Invariant.GRACEFUL_STOP) {
            check(unanswered.isEmpty(), daemon.name() + " exits without an answer to " + unanswered);
        }
        openAtSignal.remove(daemon);
    }

    /** Stop signals that met a watch, a lease renewal, an order and a stream, all open. */
    int stopsWithAllInFlight() {
        return stopsWithAllInFlight;
    }

    /** Exits that had to wait for the calls in flight. */
    int uninterruptedExits() {
        return uninterruptedExits;
    }

    /** Whole answers of streams that took more than one attempt. */
    long completeResumedStreams() {
        return calls.stream()
                .filter(call -> call.operation().service().model())
                .filter(call -> call.response().map(CallResponse::complete).orElse(false))
                .filter(call -> executions.getOrDefault(call, 0) > 1)
                .count();
    }

    /** Checks the whole run after all deadlines have passed. */
    void checkRun(boolean quiet) {
        for (Call call : calls) {
            check(
                    call.responses().size() == (call.connectionLost() ? 0 : 1),
                    call + " has the answers " + call.responses());
            switch (invariant) {
                case OWN_ANSWER -> checkOwnAnswer(call);
                case NOT_RUN, GRACEFUL_STOP -> checkNotRun(call);
                case AT_MOST_ONCE -> checkUnkeyedAtMostOnce(call);
                default -> throw new IllegalStateException("not an invariant of calls: " + invariant);
            }
        }
        if (invariant == Invariant.AT_MOST_ONCE) {
            checkKeysAtMostOnce();
        }
        if (quiet) {
            checkServedShare();
        }
    }

    /** A run in which everything is refused proves nothing. Of two operations with one key only one is to be served. */
    private void checkServedShare() {
        Map<Object, Boolean> served = new LinkedHashMap<>();
        for (Call call : calls) {
            Operation operation = call.operation();
            Object name = operation.key().isPresent() ? operation.key().get() : operation.number();
            served.merge(name, call.response().map(InvariantChecker::ran).orElse(false), Boolean::logicalOr);
        }
        long count = served.values().stream().filter(Boolean::booleanValue).count();
        check(
                count >= MIN_SERVED_SHARE * served.size(),
                "only " + count + " of " + served.size() + " operations are served without faults");
    }

    private static boolean ran(CallResponse reply) {
        return reply.runState() == RunState.RAN;
    }

    private void checkOwnAnswer(Call call) {
        Operation operation = call.operation();
        List<String> tokens = call.tokens();
        boolean prefix = operation.service().model() ? tokens.size() <= operation.tokens() : tokens.isEmpty();
        for (int index = 0; prefix && index < tokens.size(); index++) {
            prefix = tokens.get(index).equals(operation.token(index));
        }
        check(prefix && !call.tokenAfterEnd(), call + " received the tokens " + tokens);
        Optional<CallResponse> reply = call.response();
        if (reply.isEmpty() || !reply.get().complete()) {
            return;
        }
        boolean own = operation.service().model()
                ? tokens.size() == operation.tokens() && reply.get().body().isEmpty()
                : reply.get().body().equals(operation.answer());
        check(own, call + " received " + tokens + " and '" + reply.get().body() + "' as its whole answer");
    }

    /** A joined call has no executions of its own and shares the answer of the call that runs. */
    private void checkNotRun(Call call) {
        Optional<CallResponse> reply = call.response();
        int runs = executions.getOrDefault(call, 0);
        if (reply.isPresent() && reply.get().runState() == RunState.NOT_RUN) {
            check(runs == 0, call + " ran " + runs + " times and was reported as " + reply.get());
        }
    }

    private void checkUnkeyedAtMostOnce(Call call) {
        Operation operation = call.operation();
        if (operation.nonIdempotent() && operation.key().isEmpty()) {
            int runs = executions.getOrDefault(call, 0);
            check(runs <= 1, call + " ran " + runs + " times");
        }
    }

    private void checkKeysAtMostOnce() {
        Map<String, Integer> runsByKey = calls.stream()
                .filter(call -> call.operation().key().isPresent())
                .collect(Collectors.toMap(
                        call -> call.operation().service().name() + " "
                                + call.operation().key().orElseThrow(),
                        call -> executions.getOrDefault(call, 0),
                        Integer::sum,
                        LinkedHashMap::new));
        runsByKey.forEach((key, runs) -> check(runs <= 1, "key " + key + " ran " + runs + " times"));
    }

    private Set<Call> openCalls(SimulatedDaemon daemon) {
        return openAt.entrySet().stream()
                .filter(entry -> entry.getValue() == daemon)
                .map(Map.Entry::getKey)
                .filter(Call::accepted)
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    private void check(boolean holds, String detail) {
        record.check(holds, invariant, world.queue().nowMillis(), detail);
    }
}
