package io.sesamehead.daemon.runtime;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/** Runs the control tasks of a daemon once or periodically. Tasks may block on I/O. */
// runLogged logs the failures of tasks.
@SuppressWarnings("FutureReturnValueIgnored")
public final class WorkerPool implements AutoCloseable {
    /** Probes of unreachable engines block for their timeout; when all threads are busy, further tasks are skipped. */
    private static final int MAX_THREADS = 64;

    private static final int IDLE_SECONDS = 10;
    private static final int JITTER_DIVISOR = 10;

    private final ScheduledThreadPoolExecutor timer;
    private final ThreadPoolExecutor workers;

    /** Creates a pool without threads. */
    public WorkerPool() {
        timer = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().daemon().name("timer").factory());
        timer.setRemoveOnCancelPolicy(true);
        workers = new ThreadPoolExecutor(
                0,
                MAX_THREADS,
                IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                Thread.ofPlatform().daemon().name("worker-", 1).factory());
    }

    /**
     * Runs a task immediately.
     *
     * @param name name of the task for the log
     * @param task the task
     * @return false if the task was skipped because all threads are busy or the pool is closed
     */
    public boolean run(String name, Runnable task) {
        try {
            workers.execute(() -> runLogged(name, task));
            return true;
        } catch (RejectedExecutionException e) {
            Logger.warn("daemon: skipped task {}: all threads are busy or the pool is closed", name);
            return false;
        }
    }

    /**
     * Runs a task with a fixed delay after the end of the previous run, shortened by a random jitter of up to a tenth.
     *
     * @param name name of the task for the log
     * @param interval the interval
     * @param task the task
     */
    public void runEvery(String name, Duration interval, Runnable task) {
        runRepeatedly(name, task, interval::toMillis);
    }

    /**
     * Runs a task with a fixed delay on the timer thread, without using a worker thread. Only for short tasks that do not
     * block.
     *
     * @param name name of the task for the log
     * @param interval the interval
     * @param task the task
     */
    public void runEveryOnTimer(String name, Duration interval, Runnable task) {
        timer.scheduleWithFixedDelay(
                () -> runLogged(name, task), interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task repeatedly, with a delay that is queried at the end of each run and shortened by a random jitter.
     *
     * @param name name of the task for the log
     * @param task the task
     * @param waitMillis returns the wait before the next run, in milliseconds
     */
    public void runRepeatedly(String name, Runnable task, LongSupplier waitMillis) {
        Runnable repeatingTask = new Runnable() {
            @Override
            public void run() {
                runLogged(name, task);
                schedule(name, this, waitMillis.getAsLong());
            }
        };
        if (!run(name, repeatingTask)) {
            schedule(name, repeatingTask, waitMillis.getAsLong());
        }
    }

    private void schedule(String name, Runnable repeatingTask, long waitMillis) {
        long jitterMillis = ThreadLocalRandom.current().nextLong(waitMillis / JITTER_DIVISOR + 1);
        if (timer.isShutdown()) {
            return;
        }
        try {
            timer.schedule(
                    () -> {
                        if (!run(name, repeatingTask)) {
                            schedule(name, repeatingTask, waitMillis);
                        }
                    },
                    waitMillis - jitterMillis,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            Logger.debug("daemon: task {} is not rescheduled: the pool is closed", name);
        }
    }

    private static void runLogged(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Logger.error(e, "daemon: task {} failed", name);
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        workers.shutdownNow();
    }
}
