package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs tasks and callbacks on the event loop. A failure of one is logged and does not end what it belongs to: a periodic
 * task runs again, and the owner of a callback can continue with its next request.
 */
final class EventLoopTasks {
    private final EventLoop loop;
    private final EventLog log;

    EventLoopTasks(EventLoop loop, EventLog log) {
        this.loop = loop;
        this.log = log;
    }

    /**
     * Runs a task now, and another one if it fails. A stack overflow is a failure like any other: its cause is the input
     * of the task, and the stack is free again. Other errors of the virtual machine are thrown on after both.
     */
    void run(String name, Runnable task, Runnable onFailure) {
        try {
            task.run();
        } catch (Throwable e) {
            recordFailure(name, e);
            onFailure.run();
            if (e instanceof VirtualMachineError error && !(e instanceof StackOverflowError)) {
                throw error;
            }
        }
    }

    /** Runs a task later on the event loop. */
    void execute(String name, Runnable task, Runnable onFailure) {
        loop.execute(() -> run(name, task, onFailure));
    }

    /**
     * Runs a task once after a delay.
     *
     * @param name name of the task in the log
     * @param task the task
     * @param delayMillis the delay, in milliseconds
     * @param onFailure runs if the task fails
     * @return the scheduled task, which can be cancelled
     */
    Future<?> schedule(String name, Runnable task, long delayMillis, Runnable onFailure) {
        return loop.schedule(() -> run(name, task, onFailure), delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task periodically, also after it has failed.
     *
     * @param name name of the task in the log
     * @param task the task
     * @param intervalMillis delay before the first run and between two runs, in milliseconds
     */
    void repeat(String name, Runnable task, long intervalMillis) {
        loop.scheduleWithFixedDelay(
                () -> run(name, task, () -> {}), intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns a callback that runs another task if it fails. */
    <T> Consumer<T> callback(String name, Consumer<T> callback, Runnable onFailure) {
        return result -> run(name, () -> callback.accept(result), onFailure);
    }

    /** Logs the failure of a task with the place where it occurred. */
    void recordFailure(String name, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        log.write(
                EventLog.Component.DAEMON,
                "task-failed",
                "task",
                name,
                "cause",
                cause,
                "where",
                trace.length == 0 ? "unknown" : trace[0]);
    }
}
