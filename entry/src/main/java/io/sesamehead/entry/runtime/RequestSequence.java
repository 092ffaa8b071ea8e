package io.sesamehead.entry.runtime;

import java.util.function.Consumer;

/**
 * A sequence of requests and delays, each of which leads to the next. Whatever the sequence leads to after a restart is
 * ignored, so that there is never a second one beside it. Confined to the event loop.
 */
final class RequestSequence {
    private final EventLoopTasks tasks;
    private final String task;
    private final Runnable onFailure;
    private long restarts;

    /**
     * Creates a sequence without steps.
     *
     * @param tasks runs the steps
     * @param task name of the steps in the log
     * @param onFailure continues the sequence after a step has failed
     */
    RequestSequence(EventLoopTasks tasks, String task, Runnable onFailure) {
        this.tasks = tasks;
        this.task = task;
        this.onFailure = onFailure;
    }

    /** Begins anew with a step. */
    void restart(Runnable step) {
        restarts++;
        tasks.run(task, step, onFailure);
    }

    /**
     * Begins anew with a step after a delay.
     *
     * @param step the step
     * @param delayMillis the delay, in milliseconds
     */
    void restart(Runnable step, long delayMillis) {
        restarts++;
        schedule(step, delayMillis);
    }

    /**
     * Continues with a step after a delay.
     *
     * @param step the step
     * @param delayMillis the delay, in milliseconds
     */
    void schedule(Runnable step, long delayMillis) {
        Consumer<Runnable> current = ifCurrent(Runnable::run);
        tasks.schedule(task, () -> current.accept(step), delayMillis, () -> current.accept(onFailure));
    }

    /** Returns a callback for the result of a request, with which the sequence continues. */
    <T> Consumer<T> callback(Consumer<T> step) {
        Consumer<Runnable> current = ifCurrent(Runnable::run);
        return tasks.callback(task, ifCurrent(step), () -> current.accept(onFailure));
    }

    /** Returns a step that has no effect after the next restart. */
    <T> Consumer<T> ifCurrent(Consumer<T> step) {
        long begunAfter = restarts;
        return value -> {
            if (restarts == begunAfter) {
                step.accept(value);
            }
        };
    }
}
