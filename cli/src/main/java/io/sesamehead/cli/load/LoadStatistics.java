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

/** Counts the calls of a run by outcome and records the outcome of each order key. Thread-safe. */
public final class LoadStatistics {
    /** Maximum number of calls described in the result file, to limit its size. */
    private static final int MAX_EXAMPLES = 50;

    private final Map<CallOutcome, Long> outcomes = new EnumMap<>(CallOutcome.class);
    private final Map<String, Map<CallOutcome, Long>> accounts = new TreeMap<>();
    private final Map<String, Long> lastAttemptReasons = new TreeMap<>();
    private final Map<String, KeyRecord> keys = new TreeMap<>();
    private final List<String> examples = new ArrayList<>();
    private long sent;
    private long repeats;
    private long attempts;
    private long skipped;

    /** Counts an arrival that was skipped because too many calls were in flight. */
    public synchronized void recordSkipped() {
        skipped++;
    }

    /**
     * Counts a call that is about to be sent.
     *
     * @param call the call
     */
    public synchronized void recordSent(CallSpec call) {
        sent++;
        if (call instanceof CallSpec.Order order && order.repeat()) {
            repeats++;
        }
    }

    /**
     * Counts the result of a call.
     *
     * @param call the call
     * @param result the result
     */
    public synchronized void recordEnd(CallSpec call, CallRunner.CallResult result) {
        CallRunner.CallResult checkedResult =
                call instanceof CallSpec.Order order ? checkRepeat(order, result) : result;
        outcomes.merge(checkedResult.outcome(), 1L, Long::sum);
        accounts.computeIfAbsent(call.account(), name -> new EnumMap<>(CallOutcome.class))
                .merge(checkedResult.outcome(), 1L, Long::sum);
        attempts += checkedResult.attempts();
        if (checkedResult.outcome() != CallOutcome.WHOLE) {
            lastAttemptReasons.merge(reason(checkedResult.lastAttempt()), 1L, Long::sum);
            if (examples.size() < MAX_EXAMPLES) {
                examples.add(checkedResult.outcome().fieldName() + " after " + checkedResult.attempts() + " attempts: "
                        + call + " -> " + checkedResult.lastAttempt());
            }
        }
    }

    /** Each use of a key must return the same answer; a different answer is counted as wrong. */
    private CallRunner.CallResult checkRepeat(CallSpec.Order order, CallRunner.CallResult result) {
        KeyRecord record = keys.computeIfAbsent(order.key(), key -> new KeyRecord());
        CallRunner.CallResult checkedResult = result;
        if (result.lastAttempt() instanceof AttemptResult.Whole whole) {
            if (record.answer == null) {
                record.answer = whole.answer();
            } else if (!record.answer.equals(whole.answer())) {
                AttemptResult wrong =
                        new AttemptResult.Wrong("answer " + whole.answer() + " differs from " + record.answer);
                checkedResult = new CallRunner.CallResult(CallOutcome.WRONG, result.attempts(), wrong);
            }
        }
        record.notRunOnly &= checkedResult.outcome() == CallOutcome.NOT_RUN;
        record.whole |= checkedResult.outcome() == CallOutcome.WHOLE;
        return checkedResult;
    }

    /**
     * Compares the order keys with the executions of the service.
     *
     * @param executions number of executions by key, as counted by the service
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
     * Returns the number of calls with an outcome.
     *
     * @param outcome the outcome
     * @return the count
     */
    public synchronized long count(CallOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    /**
     * Returns the number of sent calls that ended with none of the four expected outcomes or have no outcome.
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
     * Encodes the statistics.
     *
     * @return a JSON object
     */
    public synchronized ObjectNode toJson() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("sent", sent);
        putClasses(node, outcomes);
        node.put("unaccounted", unaccountedCalls());
        node.put("repeats", repeats);
        node.put("attempts", attempts);
        node.put("skipped", skipped);
        ObjectNode byAccount = node.putObject("accounts");
        accounts.forEach((account, counts) -> putClasses(byAccount.putObject(account), counts));
        ObjectNode reasons = node.putObject("reasons");
        lastAttemptReasons.forEach(reasons::put);
        ArrayNode described = node.putArray("examples");
        examples.forEach(described::add);
        return node;
    }

    private static void putClasses(ObjectNode node, Map<CallOutcome, Long> counts) {
        for (CallOutcome outcome : CallOutcome.values()) {
            node.put(outcome.fieldName(), counts.getOrDefault(outcome, 0L));
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

    /** Outcomes of the calls with one key. */
    private static final class KeyRecord {
        private String answer;
        private boolean whole;
        private boolean notRunOnly = true;
    }

    /**
     * Comparison of the order keys with the executions of the service.
     *
     * @param keys number of keys used in the run
     * @param duplicates number of keys executed more than once
     * @param missing number of keys with a complete answer that the service never executed
     * @param executedThoughNotRun number of executed keys for which all calls ended as not run
     */
    public record ExecutionCheck(long keys, long duplicates, long missing, long executedThoughNotRun) {
        /**
         * Returns whether the executions agree with the answers.
         *
         * @return true if there are no discrepancies
         */
        public boolean passed() {
            return duplicates + missing + executedThoughNotRun == 0;
        }
    }
}
