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

/** Checks the invariants by comparing what the upstreams executed with the responses that the callers received. */
final class InvariantChecker {
    /** Minimum fraction of operations that a fault-free run must serve. */
    private static final double MIN_SERVED_FRACTION = 0.95;

    private final CallSimulation simulation;
    private final RunRecord record;
    private final Invariant invariant;
    private final List<Call> calls = new ArrayList<>();
    private final Map<Call, SimulatedDaemon> daemonByOpenCall = new LinkedHashMap<>();
    private final Map<Call, Integer> executions = new HashMap<>();
    private final Map<SimulatedDaemon, Set<Call>> openCallsAtSignal = new HashMap<>();
    private int stopsWithAllInFlight;
    private int uninterruptedExits;

    InvariantChecker(CallSimulation simulation, RunRecord record, Invariant invariant) {
        this.simulation = simulation;
        this.record = record;
        this.invariant = invariant;
    }

    void callSent(Call call, SimulatedDaemon daemon) {
        calls.add(call);
        daemonByOpenCall.put(call, daemon);
    }

    void callEnded(Call call) {
        daemonByOpenCall.remove(call);
    }

    void callExecuted(Call call) {
        executions.merge(call, 1, Integer::sum);
    }

    /** Breaks the connections of the callers of a killed daemon. */
    void daemonKilled(SimulatedDaemon daemon) {
        List.copyOf(daemonByOpenCall.entrySet()).stream()
                .filter(entry -> entry.getValue() == daemon)
                .forEach(entry -> entry.getKey().loseConnection());
        openCallsAtSignal.remove(daemon);
    }

    void stopSignalled(SimulatedDaemon daemon) {
        openCallsAtSignal.put(daemon, openCalls(daemon));
        boolean streaming = daemon.openHandlers().stream().anyMatch(CallHandler::streaming);
        if (streaming && daemon.controlTasks().allInFlight()) {
            stopsWithAllInFlight++;
        }
    }

    void leaseReleased(SimulatedDaemon daemon, int ordersInFlight) {
        if (invariant == Invariant.GRACEFUL_STOP) {
            check(ordersInFlight == 0, daemon.name() + " released its lease with orders in flight");
        }
    }

    /** Called before the exiting daemon ends its open calls. */
    void daemonExiting(SimulatedDaemon daemon, boolean mayInterrupt) {
        if (invariant == Invariant.GRACEFUL_STOP && !mayInterrupt) {
            uninterruptedExits++;
            for (Call call : openCallsAtSignal.getOrDefault(daemon, Set.of())) {
                check(call.response().isPresent(), daemon.name() + " interrupts " + call + " by exiting");
                boolean refused = call.response()
                        .map(response -> response.hasKind(ErrorKind.SHUTTING_DOWN))
                        .orElse(false);
                check(!refused, daemon.name() + " refused the accepted " + call + " while stopping");
            }
        }
    }

    /** Called after the exiting daemon has ended its open calls. */
    void daemonExited(SimulatedDaemon daemon) {
        Set<Call> unanswered = openCalls(daemon);
        if (invariant == Invariant.GRACEFUL_STOP) {
            check(unanswered.isEmpty(), daemon.name() + " exited without a response to " + unanswered);
        }
        openCallsAtSignal.remove(daemon);
    }

    /**
     * Returns the number of stop signals that arrived while a watch, a lease renewal, an order and a stream were all in
     * flight.
     */
    int stopsWithAllInFlight() {
        return stopsWithAllInFlight;
    }

    /** Returns the number of exits that had to wait for the calls in flight. */
    int uninterruptedExits() {
        return uninterruptedExits;
    }

    /** Returns the number of streams that completed after more than one attempt. */
    long completeResumedStreams() {
        return calls.stream()
                .filter(call -> call.operation().service().model())
                .filter(call -> call.response().map(CallResponse::complete).orElse(false))
                .filter(call -> executions.getOrDefault(call, 0) > 1)
                .count();
    }

    /** Checks the complete run after all deadlines have passed. */
    void checkRun(boolean faultFree) {
        for (Call call : calls) {
            check(
                    call.responses().size() == (call.connectionLost() ? 0 : 1),
                    call + " received the responses " + call.responses());
            switch (invariant) {
                case OWN_ANSWER -> checkOwnAnswer(call);
                case NOT_RUN, GRACEFUL_STOP -> checkNotRun(call);
                case AT_MOST_ONCE -> checkUnkeyedAtMostOnce(call);
                default -> throw new IllegalStateException("not an invariant about calls: " + invariant);
            }
        }
        if (invariant == Invariant.AT_MOST_ONCE) {
            checkKeysAtMostOnce();
        }
        if (faultFree) {
            checkServedFraction();
        }
    }

    /**
     * Checks that a fault-free run serves nearly all operations, because a run in which every call is refused proves
     * nothing. Only one of two operations with the same key is expected to be served.
     */
    private void checkServedFraction() {
        Map<Object, Boolean> served = new LinkedHashMap<>();
        for (Call call : calls) {
            Operation operation = call.operation();
            Object name = operation.key().isPresent() ? operation.key().get() : operation.number();
            served.merge(name, call.response().map(InvariantChecker::ran).orElse(false), Boolean::logicalOr);
        }
        long count = served.values().stream().filter(Boolean::booleanValue).count();
        check(
                count >= MIN_SERVED_FRACTION * served.size(),
                "only " + count + " of " + served.size() + " operations were served in a fault-free run");
    }

    private static boolean ran(CallResponse response) {
        return response.runState() == RunState.RAN;
    }

    private void checkOwnAnswer(Call call) {
        Operation operation = call.operation();
        List<String> tokens = call.tokens();
        boolean prefix = operation.service().model() ? tokens.size() <= operation.tokens() : tokens.isEmpty();
        for (int index = 0; prefix && index < tokens.size(); index++) {
            prefix = tokens.get(index).equals(operation.token(index));
        }
        check(prefix && !call.tokenAfterEnd(), call + " received the tokens " + tokens);
        Optional<CallResponse> response = call.response();
        if (response.isEmpty() || !response.get().complete()) {
            return;
        }
        boolean own = operation.service().model()
                ? tokens.size() == operation.tokens() && response.get().body().isEmpty()
                : response.get().body().equals(operation.answer());
        check(own, call + " received " + tokens + " and '" + response.get().body() + "' as its complete response");
    }

    /**
     * Checks that a call reported as not run was not executed. A joined call has no executions of its own and shares
     * the response of the call that it joined.
     */
    private void checkNotRun(Call call) {
        Optional<CallResponse> response = call.response();
        int runs = executions.getOrDefault(call, 0);
        if (response.isPresent() && response.get().runState() == RunState.NOT_RUN) {
            check(runs == 0, call + " ran " + runs + " times and was reported as " + response.get());
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
        return daemonByOpenCall.entrySet().stream()
                .filter(entry -> entry.getValue() == daemon)
                .map(Map.Entry::getKey)
                .filter(Call::accepted)
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    private void check(boolean holds, String detail) {
        record.check(holds, invariant, simulation.queue().nowMillis(), detail);
    }
}
