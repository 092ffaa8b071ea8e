package io.sesamehead.proof.calls;

import io.sesamehead.proof.EventQueue;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Lifecycle and clock of one process. Steps are dropped after a kill and deferred during a freeze. The monotonic clock
 * runs at its own rate, including while the process is frozen.
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

    /** Returns the number of the current incarnation, from 0. */
    long incarnation() {
        return incarnation;
    }

    /** Returns a step that runs only in the current incarnation; it is deferred while the process is frozen. */
    Runnable bind(Runnable action) {
        long boundIncarnation = incarnation;
        return () -> run(boundIncarnation, action);
    }

    /**
     * Returns a consumer that accepts values only in the current incarnation; they are deferred while the process is
     * frozen.
     */
    <T> Consumer<T> bindConsumer(Consumer<T> action) {
        long boundIncarnation = incarnation;
        return value -> run(boundIncarnation, () -> action.accept(value));
    }

    /** Schedules a step after a delay, in milliseconds on this process's clock. */
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
        long boundIncarnation = incarnation;
        queue.after(millis, () -> resume(boundIncarnation));
    }

    private void run(long boundIncarnation, Runnable action) {
        if (!alive || boundIncarnation != incarnation) {
            return;
        }
        if (frozen) {
            deferred.add(action);
            return;
        }
        action.run();
    }

    private void resume(long boundIncarnation) {
        if (boundIncarnation != incarnation) {
            return;
        }
        frozen = false;
        while (running() && boundIncarnation == incarnation && !deferred.isEmpty()) {
            deferred.poll().run();
        }
    }
}
