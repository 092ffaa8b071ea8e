package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.TargetKey;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The attempts of one call, of which at most one feeds the caller. Confined to the event loop. */
final class CallAttempts {
    private final List<CallAttempt> attempts = new ArrayList<>();

    void add(CallAttempt attempt) {
        attempts.add(attempt);
    }

    int size() {
        return attempts.size();
    }

    /** Returns the targets in the order of the attempts. */
    List<TargetKey> targets() {
        return attempts.stream().map(CallAttempt::key).toList();
    }

    boolean tried(TargetKey key) {
        return attempts.stream().anyMatch(attempt -> attempt.key().equals(key));
    }

    /** Returns the number of attempts that may have run, including those that are open. */
    int ran() {
        return attempts.size() - notRun();
    }

    int notRun() {
        return (int) attempts.stream().filter(CallAttempt::isNotRun).count();
    }

    /** Returns whether an upstream may have received an attempt, run or not. */
    boolean anyReceived() {
        return attempts.stream().anyMatch(attempt -> !attempt.isNotRun() || attempt.refusedByUpstream());
    }

    /** Returns the attempts that may still answer the call. */
    Stream<CallAttempt> waiting() {
        return attempts.stream().filter(CallAttempt::isWaiting);
    }

    boolean anyWaiting() {
        return waiting().findAny().isPresent();
    }

    /** Counts a crash for each open attempt at a target. */
    void recordCrash(TargetKey key) {
        waiting().filter(attempt -> attempt.key().equals(key)).forEach(CallAttempt::recordCrash);
    }

    void setAutoRead(boolean autoRead) {
        waiting().forEach(attempt -> attempt.setAutoRead(autoRead));
    }

    /**
     * Makes one attempt the only one that may feed the caller.
     *
     * @return whether any other attempt was excluded
     */
    boolean select(CallAttempt winner) {
        if (attempts.size() == 1) {
            return false;
        }
        List<CallAttempt> others =
                waiting().filter(attempt -> attempt != winner).toList();
        others.forEach(CallAttempt::supersede);
        return !others.isEmpty();
    }

    /** Excludes all attempts from answering the call. */
    void supersedeAll() {
        waiting().toList().forEach(CallAttempt::supersede);
    }

    /** Closes superseded attempts whose targets are no longer silent and returns the others. */
    List<CallAttempt> checkSuperseded() {
        return attempts.stream()
                .filter(attempt -> attempt.isSuperseded() && attempt.checkSuperseded())
                .toList();
    }

    void cancelWaiting() {
        waiting().toList().forEach(CallAttempt::cancelUnanswered);
    }

    void cancelAll() {
        attempts.forEach(CallAttempt::cancelUnanswered);
    }
}
