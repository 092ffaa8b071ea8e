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

/** Threads that run the control tasks of a daemon, once or at intervals. A task may block in I/O. */
// Failures of a task are logged where it runs.
@SuppressWarnings("FutureReturnValueIgnored")
public final class WorkerPool implements AutoCloseable {
    /** Probes of unreachable engines block for their timeout; above this many threads further tasks are skipped. */
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
     * Runs a task now.
     *
     * @param name name of the task for the log
     * @param task the task
     * @return false when all threads are busy or the pool is closed, and the task was skipped
     */
    public boolean run(String name, Runnable task) {
        try {
            workers.execute(() -> guarded(name, task));
            return true;
        } catch (RejectedExecutionException e) {
            Logger.warn("daemon: skipped task {} because all threads are busy", name);
            return false;
        }
    }

    /**
     * Runs a task at intervals, each measured from the end of the run before, with a jitter of a tenth.
     *
     * @param name name of the task for the log
     * @param interval the interval
     * @param task the task
     */
    public void runEvery(String name, Duration interval, Runnable task) {
        runRepeatedly(name, task, interval::toMillis);
    }

    /**
     * Runs a task at intervals on the timer thread, which costs no second thread. Only for tasks that neither block nor
     * take long.
     *
     * @param name name of the task for the log
     * @param interval the interval
     * @param task the task
     */
    public void runEveryOnTimer(String name, Duration interval, Runnable task) {
        timer.scheduleWithFixedDelay(
                () -> guarded(name, task), interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task again and again, each time after a wait that is asked for at the end of the run before.
     *
     * @param name name of the task for the log
     * @param task the task
     * @param waitMillis returns the wait before the next run, in milliseconds
     */
    public void runRepeatedly(String name, Runnable task, LongSupplier waitMillis) {
        Runnable chain = new Runnable() {
            @Override
            public void run() {
                guarded(name, task);
                schedule(name, this, waitMillis.getAsLong());
            }
        };
        if (!run(name, chain)) {
            schedule(name, chain, waitMillis.getAsLong());
        }
    }

    private void schedule(String name, Runnable chain, long waitMillis) {
        long jitterMillis = ThreadLocalRandom.current().nextLong(waitMillis / JITTER_DIVISOR + 1);
        if (timer.isShutdown()) {
            return;
        }
        try {
            timer.schedule(
                    () -> {
                        if (!run(name, chain)) {
                            schedule(name, chain, waitMillis);
                        }
                    },
                    waitMillis - jitterMillis,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            Logger.debug("daemon: task {} ends with the pool", name);
        }
    }

    private static void guarded(String name, Runnable task) {
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
