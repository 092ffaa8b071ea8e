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
final class Checks {
    /** Share of the operations that a run without faults carries out. */
    private static final double QUIET_SERVED_SHARE = 0.95;

    private final World world;
    private final RunRecord record;
    private final Invariant invariant;
    private final List<Call> calls = new ArrayList<>();
    private final Map<Call, CallsDaemon> openAt = new LinkedHashMap<>();
    private final Map<Call, Integer> executions = new HashMap<>();
    private final Map<CallsDaemon, Set<Call>> openAtSignal = new HashMap<>();
    private int stopsWithAllOpen;
    private int uninterruptedExits;

    Checks(World world, RunRecord record, Invariant invariant) {
        this.world = world;
        this.record = record;
        this.invariant = invariant;
    }

    void sent(Call call, CallsDaemon daemon) {
        calls.add(call);
        openAt.put(call, daemon);
    }

    void ended(Call call) {
        openAt.remove(call);
    }

    void executed(Call call) {
        executions.merge(call, 1, Integer::sum);
    }

    /** The callers of a killed daemon see their connections break. */
    void killed(CallsDaemon daemon) {
        List.copyOf(openAt.entrySet()).stream()
                .filter(entry -> entry.getValue() == daemon)
                .forEach(entry -> entry.getKey().lost());
        openAtSignal.remove(daemon);
    }

    void stopSignalled(CallsDaemon daemon) {
        openAtSignal.put(daemon, openCalls(daemon));
        boolean streaming = daemon.openFlows().stream().anyMatch(CallFlow::streaming);
        if (streaming && daemon.control().allOpen()) {
            stopsWithAllOpen++;
        }
    }

    void gaveLeaseBack(CallsDaemon daemon, int ordersInFlight) {
        if (invariant == Invariant.GRACEFUL_STOP) {
            check(ordersInFlight == 0, daemon.name() + " gave its lease back with orders in flight");
        }
    }

    /** Called before the open calls are answered. */
    void exiting(CallsDaemon daemon, boolean mayInterrupt) {
        if (invariant == Invariant.GRACEFUL_STOP && !mayInterrupt) {
            uninterruptedExits++;
            for (Call call : openAtSignal.getOrDefault(daemon, Set.of())) {
                check(call.reply().isPresent(), daemon.name() + " interrupts " + call + " by its exit");
                boolean refused = call.reply()
                        .map(reply -> reply.hasKind(ErrorKind.SHUTTING_DOWN))
                        .orElse(false);
                check(!refused, daemon.name() + " refused, at its stop, the accepted " + call);
            }
        }
    }

    /** Called once a stopping daemon is gone. */
    void exited(CallsDaemon daemon) {
        Set<Call> unanswered = openCalls(daemon);
        if (invariant == Invariant.GRACEFUL_STOP) {
            check(unanswered.isEmpty(), daemon.name() + " exits without an answer to " + unanswered);
        }
        openAtSignal.remove(daemon);
    }

    /** Stop signals that met a watch, a lease renewal, an order and a stream, all open. */
    int stopsWithAllOpen() {
        return stopsWithAllOpen;
    }

    /** Exits that had to wait for the calls in flight. */
    int uninterruptedExits() {
        return uninterruptedExits;
    }

    /** Whole answers of streams that took more than one attempt. */
    long resumedWholeStreams() {
        return calls.stream()
                .filter(call -> call.operation().service().model())
                .filter(call -> call.reply().map(Reply::whole).orElse(false))
                .filter(call -> executions.getOrDefault(call, 0) > 1)
                .count();
    }

    /** Checks the whole run after all deadlines have passed. */
    void atEnd(boolean quiet) {
        for (Call call : calls) {
            check(
                    call.replies().size() == (call.connectionLost() ? 0 : 1),
                    call + " has the answers " + call.replies());
            switch (invariant) {
                case OWN_ANSWER -> ownAnswer(call);
                case NOT_RUN, GRACEFUL_STOP -> truthful(call);
                case AT_MOST_ONCE -> onceUnkeyed(call);
                default -> throw new IllegalStateException("not an invariant of calls: " + invariant);
            }
        }
        if (invariant == Invariant.AT_MOST_ONCE) {
            onceByKey();
        }
        if (quiet) {
            quietRunServes();
        }
    }

    /** A run in which everything is refused proves nothing. Of two operations with one key only one is to be served. */
    private void quietRunServes() {
        Map<Object, Boolean> served = new LinkedHashMap<>();
        for (Call call : calls) {
            Operation operation = call.operation();
            Object name = operation.key().isPresent() ? operation.key().get() : operation.number();
            served.merge(name, call.reply().map(Checks::served).orElse(false), Boolean::logicalOr);
        }
        long count = served.values().stream().filter(Boolean::booleanValue).count();
        check(
                count >= QUIET_SERVED_SHARE * served.size(),
                "only " + count + " of " + served.size() + " operations are served without faults");
    }

    private static boolean served(Reply reply) {
        return reply.runState() == RunState.RAN;
    }

    private void ownAnswer(Call call) {
        Operation operation = call.operation();
        List<String> tokens = call.tokens();
        boolean prefix = operation.service().model() ? tokens.size() <= operation.tokens() : tokens.isEmpty();
        for (int index = 0; prefix && index < tokens.size(); index++) {
            prefix = tokens.get(index).equals(operation.token(index));
        }
        check(prefix && !call.tokenAfterEnd(), call + " received the tokens " + tokens);
        Optional<Reply> reply = call.reply();
        if (reply.isEmpty() || !reply.get().whole()) {
            return;
        }
        boolean own = operation.service().model()
                ? tokens.size() == operation.tokens() && reply.get().body().isEmpty()
                : reply.get().body().equals(operation.answer());
        check(own, call + " received " + tokens + " and '" + reply.get().body() + "' as its whole answer");
    }

    /** A joined call has no executions of its own and shares the answer of the call that runs. */
    private void truthful(Call call) {
        Optional<Reply> reply = call.reply();
        int runs = executions.getOrDefault(call, 0);
        if (reply.isPresent() && reply.get().runState() == RunState.NOT_RUN) {
            check(runs == 0, call + " ran " + runs + " times and was reported as " + reply.get());
        }
    }

    private void onceUnkeyed(Call call) {
        Operation operation = call.operation();
        if (operation.nonIdempotent() && operation.key().isEmpty()) {
            int runs = executions.getOrDefault(call, 0);
            check(runs <= 1, call + " ran " + runs + " times");
        }
    }

    private void onceByKey() {
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

    private Set<Call> openCalls(CallsDaemon daemon) {
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
