package io.sesamehead.cli.load;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Sends the calls of a mix at their due times, each on its own virtual thread, whatever the earlier calls do. */
public final class LoadGenerator {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final LoadSettings settings;
    private final LoadStatistics statistics;
    private final LatencyHistograms latencies;
    private final ExpectedTokens check;

    /**
     * Creates a run.
     *
     * @param settings bounds and mix
     * @param check the expected answers of completions
     */
    public LoadGenerator(LoadSettings settings, ExpectedTokens check) {
        this.settings = settings;
        this.check = check;
        this.statistics = new LoadStatistics();
        this.latencies = new LatencyHistograms();
    }

    /**
     * Sends all calls and waits for their ends.
     *
     * @param runName distinguishes the keys of this run
     * @throws InterruptedException if the process is being stopped
     * @throws IOException if the client cannot be closed
     */
    public void run(String runName) throws InterruptedException, IOException {
        CallGenerator mix = new CallGenerator(settings, runName);
        Semaphore open = new Semaphore(settings.concurrentCalls());
        try (LoadClient client = new LoadClient(settings, latencies, check)) {
            CallRunner runner = new CallRunner(settings, client::send, System::nanoTime);
            ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
            long startNanos = System.nanoTime();
            long dueNanos = startNanos + mix.nextPauseNanos();
            while (dueNanos - startNanos < settings.seconds() * NANOS_PER_SECOND
                    && statistics.sent() < settings.maxCalls()) {
                TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
                start(threads, runner, open, mix.next(), dueNanos);
                dueNanos += mix.nextPauseNanos();
            }
            threads.shutdown();
            // An attempt may outlast the deadline by the silence that its client tolerates.
            threads.awaitTermination(settings.deadlineMillis() + 2 * settings.stallMillis(), TimeUnit.MILLISECONDS);
            threads.shutdownNow();
        }
    }

    private void start(ExecutorService threads, CallRunner runner, Semaphore open, CallSpec call, long dueNanos) {
        if (!open.tryAcquire()) {
            statistics.recordSkipped();
            return;
        }
        statistics.sent(call);
        threads.execute(() -> {
            try {
                CallRunner.CallResult end = runner.run(call, dueNanos);
                time(call, end, System.nanoTime() - dueNanos);
                statistics.recordEnd(call, end);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                open.release();
            }
        });
    }

    private void time(CallSpec call, CallRunner.CallResult end, long nanos) {
        if (end.outcome() != CallOutcome.WHOLE) {
            return;
        }
        switch (call) {
            case CallSpec.Completion completion -> latencies.recordCompletion(nanos);
            case CallSpec.Order order -> latencies.recordOrder(nanos);
        }
    }

    /**
     * Returns the counts.
     *
     * @return the tally, complete when {@link #run} has returned
     */
    public LoadStatistics statistics() {
        return statistics;
    }

    /**
     * Returns the latencies.
     *
     * @return the histograms
     */
    public LatencyHistograms latencies() {
        return latencies;
    }
}
