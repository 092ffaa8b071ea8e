package io.sesamehead.standin.engine;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** In-flight streams, the slots that limit their concurrency, and the history of executions. */
final class CompletionStreams {
    /** Bounds memory use in long test runs; the oldest executions are evicted. */
    private static final int MAX_EXECUTIONS = 100_000;

    private final Semaphore slots;
    private final Set<Completion> active = ConcurrentHashMap.newKeySet();
    private final ArrayDeque<Completion> history = new ArrayDeque<>();

    CompletionStreams(int slots) {
        this.slots = new Semaphore(slots, true);
    }

    /** Reason for ending a stream early. */
    enum StopReason {
        NONE,
        CANCELLED,
        BROKEN
    }

    /** A completion from its arrival on. Only its own thread updates the execution. */
    static final class Completion {
        private volatile Execution execution;
        private volatile StopReason stopReason = StopReason.NONE;

        Completion(Execution execution) {
            this.execution = execution;
        }

        Execution execution() {
            return execution;
        }

        StopReason stopReason() {
            return stopReason;
        }

        void recordProgress(int tokensSent, boolean finished) {
            Execution old = execution;
            execution = new Execution(
                    old.requestId(),
                    old.group(),
                    old.epoch(),
                    old.incarnation(),
                    old.account(),
                    old.priority(),
                    old.promptHash(),
                    old.firstIndex(),
                    tokensSent,
                    finished);
        }
    }

    /** Registers a completion so that it can be stopped, and waits for a slot. Call {@link #releaseSlot} afterwards. */
    void acquireSlot(Completion completion) throws InterruptedException {
        active.add(completion);
        try {
            slots.acquire();
        } catch (InterruptedException e) {
            active.remove(completion);
            throw e;
        }
    }

    void releaseSlot(Completion completion) {
        active.remove(completion);
        slots.release();
    }

    void recordStart(Completion completion) {
        synchronized (history) {
            history.addLast(completion);
            if (history.size() > MAX_EXECUTIONS) {
                history.removeFirst();
            }
        }
    }

    /** Stops every stream; each closes its connection without an end marker. */
    void abortAll() {
        active.forEach(completion -> completion.stopReason = StopReason.BROKEN);
    }

    /** Cancels a request; returns whether it was in flight. */
    boolean cancel(String requestId) {
        List<Completion> found = active.stream()
                .filter(completion -> completion.execution.requestId().equals(requestId))
                .toList();
        found.forEach(completion -> completion.stopReason = StopReason.CANCELLED);
        return !found.isEmpty();
    }

    int queued() {
        return slots.getQueueLength();
    }

    int inFlight() {
        return Math.max(0, active.size() - queued());
    }

    List<Execution> history() {
        synchronized (history) {
            return history.stream().map(Completion::execution).toList();
        }
    }
}
