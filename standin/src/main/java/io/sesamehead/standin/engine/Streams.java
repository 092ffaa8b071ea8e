package io.sesamehead.standin.engine;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** Streams in flight, the slots they run in, and the record of past ones. */
final class Streams {
    /** Bounds the memory of long runs; the oldest records are dropped. */
    private static final int MAX_EXECUTIONS = 100_000;

    private final Semaphore slots;
    private final Set<Run> runs = ConcurrentHashMap.newKeySet();
    private final ArrayDeque<Run> executions = new ArrayDeque<>();

    Streams(int slots) {
        this.slots = new Semaphore(slots, true);
    }

    /** Why a stream ends early. */
    enum Stop {
        NONE,
        CANCELLED,
        BROKEN
    }

    /** One completion from its arrival on; its own thread changes the record. */
    static final class Run {
        private volatile Execution record;
        private volatile Stop stop = Stop.NONE;

        Run(Execution record) {
            this.record = record;
        }

        Execution record() {
            return record;
        }

        Stop stop() {
            return stop;
        }

        void progress(int tokensSent, boolean finished) {
            Execution old = record;
            record = new Execution(
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

    /** Registers a completion, so that it can be stopped, and waits for a slot. Must be followed by {@link #leave}. */
    void enter(Run run) throws InterruptedException {
        runs.add(run);
        try {
            slots.acquire();
        } catch (InterruptedException e) {
            runs.remove(run);
            throw e;
        }
    }

    void leave(Run run) {
        runs.remove(run);
        slots.release();
    }

    void recordStart(Run run) {
        synchronized (executions) {
            executions.addLast(run);
            if (executions.size() > MAX_EXECUTIONS) {
                executions.removeFirst();
            }
        }
    }

    /** Stops every stream; they close their connections without an end marker. */
    void breakAll() {
        runs.forEach(run -> run.stop = Stop.BROKEN);
    }

    /** Cancels a request and returns whether it was in flight. */
    boolean cancel(String requestId) {
        List<Run> found = runs.stream()
                .filter(run -> run.record.requestId().equals(requestId))
                .toList();
        found.forEach(run -> run.stop = Stop.CANCELLED);
        return !found.isEmpty();
    }

    int queued() {
        return slots.getQueueLength();
    }

    int inFlight() {
        return Math.max(0, runs.size() - queued());
    }

    List<Execution> executions() {
        synchronized (executions) {
            return executions.stream().map(Run::record).toList();
        }
    }
}
