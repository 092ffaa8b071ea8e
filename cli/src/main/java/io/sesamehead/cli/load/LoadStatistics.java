package io.sesamehead.cli.load;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts the calls of a run and remembers how each order key ended. Safe for use by several threads. */
public final class LoadStatistics {
    /** Calls described in the result file; more would only make the file long. */
    private static final int MAX_EXAMPLES = 50;

    private final Map<CallOutcome, Long> classes = new EnumMap<>(CallOutcome.class);
    private final Map<String, Map<CallOutcome, Long>> accounts = new TreeMap<>();
    private final Map<String, Long> attemptEnds = new TreeMap<>();
    private final Map<String, KeyRecord> keys = new TreeMap<>();
    private final List<String> examples = new ArrayList<>();
    private long sent;
    private long repeats;
    private long attempts;
    private long skipped;

    /** Counts an arrival that was not sent because too many calls were open. */
    public synchronized void recordSkipped() {
        skipped++;
    }

    /**
     * Counts a call that is being sent.
     *
     * @param call the call
     */
    public synchronized void sent(CallSpec call) {
        sent++;
        if (call instanceof CallSpec.Order order && order.repeat()) {
            repeats++;
        }
    }

    /**
     * Counts the end of a call.
     *
     * @param call the call
     * @param end its end
     */
    public synchronized void recordEnd(CallSpec call, CallRunner.CallResult end) {
        CallRunner.CallResult checked = call instanceof CallSpec.Order order ? checkRepeat(order, end) : end;
        classes.merge(checked.outcome(), 1L, Long::sum);
        accounts.computeIfAbsent(call.account(), name -> new EnumMap<>(CallOutcome.class))
                .merge(checked.outcome(), 1L, Long::sum);
        attempts += checked.attempts();
        if (checked.outcome() != CallOutcome.WHOLE) {
            attemptEnds.merge(reason(checked.lastAttempt()), 1L, Long::sum);
            if (examples.size() < MAX_EXAMPLES) {
                examples.add(checked.outcome().fieldName() + " after " + checked.attempts() + " attempts: " + call
                        + " -> " + checked.lastAttempt());
            }
        }
    }

    /** Each use of a key must return the same answer; another answer is not the call's own. */
    private CallRunner.CallResult checkRepeat(CallSpec.Order order, CallRunner.CallResult end) {
        KeyRecord record = keys.computeIfAbsent(order.key(), key -> new KeyRecord());
        CallRunner.CallResult checked = end;
        if (end.lastAttempt() instanceof AttemptResult.Whole whole) {
            if (record.answer == null) {
                record.answer = whole.answer();
            } else if (!record.answer.equals(whole.answer())) {
                AttemptResult wrong =
                        new AttemptResult.Wrong("answer " + whole.answer() + " differs from " + record.answer);
                checked = new CallRunner.CallResult(CallOutcome.WRONG, end.attempts(), wrong);
            }
        }
        record.notRunOnly &= checked.outcome() == CallOutcome.NOT_RUN;
        record.whole |= checked.outcome() == CallOutcome.WHOLE;
        return checked;
    }

    /**
     * Compares the keys with what the service ran.
     *
     * @param executions executions by key, as the service counted them
     * @return the comparison
     */
    public synchronized ExecutionCheck compare(ImmutableMap<String, Long> executions) {
        long doubled = 0;
        long missing = 0;
        long ranThoughNotRun = 0;
        for (Map.Entry<String, KeyRecord> entry : keys.entrySet()) {
            long count = executions.getOrDefault(entry.getKey(), 0L);
            doubled += count > 1 ? 1 : 0;
            missing += count == 0 && entry.getValue().whole ? 1 : 0;
            ranThoughNotRun += count > 0 && entry.getValue().notRunOnly ? 1 : 0;
        }
        return new ExecutionCheck(keys.size(), doubled, missing, ranThoughNotRun);
    }

    /**
     * Returns the number of calls sent.
     *
     * @return the count
     */
    public synchronized long sent() {
        return sent;
    }

    /**
     * Returns the number of calls that ended in one way.
     *
     * @param callClass the way
     * @return the count
     */
    public synchronized long count(CallOutcome callClass) {
        return classes.getOrDefault(callClass, 0L);
    }

    /**
     * Returns the number of calls sent that ended in none of the four expected ways.
     *
     * @return the count
     */
    public synchronized long unaccountedCalls() {
        return sent
                - count(CallOutcome.WHOLE)
                - count(CallOutcome.NOT_RUN)
                - count(CallOutcome.UNKNOWN)
                - count(CallOutcome.TORN);
    }

    /**
     * Returns the counts.
     *
     * @return a JSON object
     */
    public synchronized ObjectNode toJson() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("sent", sent);
        putClasses(node, classes);
        node.put("unaccounted", unaccountedCalls());
        node.put("repeats", repeats);
        node.put("attempts", attempts);
        node.put("skipped", skipped);
        ObjectNode byAccount = node.putObject("accounts");
        accounts.forEach((account, counts) -> putClasses(byAccount.putObject(account), counts));
        ObjectNode reasons = node.putObject("reasons");
        attemptEnds.forEach(reasons::put);
        ArrayNode described = node.putArray("examples");
        examples.forEach(described::add);
        return node;
    }

    private static void putClasses(ObjectNode node, Map<CallOutcome, Long> counts) {
        for (CallOutcome callClass : CallOutcome.values()) {
            node.put(callClass.fieldName(), counts.getOrDefault(callClass, 0L));
        }
    }

    private static String reason(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Refused refused -> refused.kind();
            case AttemptResult.Whole whole -> "whole";
            case AttemptResult.Wrong wrong -> "wrong";
            case AttemptResult.Unreachable unreachable -> "unreachable";
            case AttemptResult.Broken broken -> "broken";
            case AttemptResult.Torn torn -> "torn";
        };
    }

    /** How the calls with one key ended. */
    private static final class KeyRecord {
        private String answer;
        private boolean whole;
        private boolean notRunOnly = true;
    }

    /**
     * Comparison of order keys with what the service ran.
     *
     * @param keys keys used in the run
     * @param duplicates keys executed more than once
     * @param missing keys answered whole that the service never executed
     * @param executedThoughNotRun executed keys whose every call was answered not-run
     */
    public record ExecutionCheck(long keys, long duplicates, long missing, long executedThoughNotRun) {
        /**
         * Tells whether the service agrees with the answers.
         *
         * @return true when no count is above 0
         */
        public boolean passed() {
            return duplicates + missing + executedThoughNotRun == 0;
        }
    }
}
