package io.sesamehead.proof.calls;

import io.sesamehead.proof.EventQueue;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Life and clock of one process. Its steps are dropped once it is killed and wait while it is frozen; its monotonic
 * clock runs at its own rate, also while it is frozen.
 */
final class SimulatedProcess {
    private final EventQueue queue;
    private final double clockRate;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private long incarnation;
    private boolean alive = true;
    private boolean frozen;

    SimulatedProcess(EventQueue queue, double clockRate) {
        this.queue = queue;
        this.clockRate = clockRate;
    }

    long nowMillis() {
        return (long) (queue.nowMillis() * clockRate);
    }

    boolean alive() {
        return alive;
    }

    boolean running() {
        return alive && !frozen;
    }

    /** Number of the present incarnation, from 0. */
    long incarnation() {
        return incarnation;
    }

    /** Binds a step to the present incarnation. */
    Runnable bind(Runnable action) {
        long bound = incarnation;
        return () -> run(bound, action);
    }

    /** Binds the receiver of an answer to the present incarnation. */
    <T> Consumer<T> bindConsumer(Consumer<T> action) {
        long bound = incarnation;
        return value -> run(bound, () -> action.accept(value));
    }

    /** Schedules a step after a time on this process's clock. */
    void after(long millis, Runnable action) {
        queue.after((long) Math.ceil(millis / clockRate), bind(action));
    }

    void every(long millis, Runnable action) {
        after(millis, () -> {
            action.run();
            every(millis, action);
        });
    }

    void kill() {
        alive = false;
        frozen = false;
        incarnation++;
        deferred.clear();
    }

    void start() {
        alive = true;
    }

    void freeze(long millis) {
        if (!running()) {
            return;
        }
        frozen = true;
        long bound = incarnation;
        queue.after(millis, () -> resume(bound));
    }

    private void run(long bound, Runnable action) {
        if (!alive || bound != incarnation) {
            return;
        }
        if (frozen) {
            deferred.add(action);
            return;
        }
        action.run();
    }

    private void resume(long bound) {
        if (bound != incarnation) {
            return;
        }
        frozen = false;
        while (running() && bound == incarnation && !deferred.isEmpty()) {
            deferred.poll().run();
        }
    }
}
