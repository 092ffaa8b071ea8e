package io.sesamehead.cli.load;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Open-loop load generator: starts each call at its due time on its own virtual thread, regardless of the progress of
 * earlier calls.
 */
public final class LoadGenerator {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final LoadSettings settings;
    private final LoadStatistics statistics;
    private final LatencyHistograms latencies;
    private final ExpectedTokens expectedTokens;

    /**
     * Creates a generator.
     *
     * @param settings limits and mix of the run
     * @param expectedTokens source of the expected answers to completions
     */
    public LoadGenerator(LoadSettings settings, ExpectedTokens expectedTokens) {
        this.settings = settings;
        this.expectedTokens = expectedTokens;
        this.statistics = new LoadStatistics();
        this.latencies = new LatencyHistograms();
    }

    /**
     * Sends all calls and waits for their results.
     *
     * @param runName prefix that makes the keys of this run unique
     * @throws InterruptedException if the process is being stopped
     * @throws IOException if the client cannot be closed
     */
    public void run(String runName) throws InterruptedException, IOException {
        CallGenerator callGenerator = new CallGenerator(settings, runName);
        Semaphore permits = new Semaphore(settings.concurrentCalls());
        try (LoadClient client = new LoadClient(settings, latencies, expectedTokens)) {
            CallRunner callRunner = new CallRunner(settings, client::send, System::nanoTime);
            ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
            long startNanos = System.nanoTime();
            long dueNanos = startNanos + callGenerator.nextInterarrivalNanos();
            while (dueNanos - startNanos < settings.seconds() * NANOS_PER_SECOND
                    && statistics.sent() < settings.maxCalls()) {
                TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
                dispatch(threads, callRunner, permits, callGenerator.next(), dueNanos);
                dueNanos += callGenerator.nextInterarrivalNanos();
            }
            threads.shutdown();
            // An attempt may exceed the deadline by the read timeout of its client.
            threads.awaitTermination(settings.deadlineMillis() + 2 * settings.stallMillis(), TimeUnit.MILLISECONDS);
            threads.shutdownNow();
        }
    }

    private void dispatch(
            ExecutorService threads, CallRunner callRunner, Semaphore permits, CallSpec call, long dueNanos) {
        if (!permits.tryAcquire()) {
            statistics.recordSkipped();
            return;
        }
        statistics.recordSent(call);
        threads.execute(() -> {
            try {
                CallRunner.CallResult result = callRunner.run(call, dueNanos);
                recordLatency(call, result, System.nanoTime() - dueNanos);
                statistics.recordEnd(call, result);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                permits.release();
            }
        });
    }

    private void recordLatency(CallSpec call, CallRunner.CallResult result, long nanos) {
        if (result.outcome() != CallOutcome.WHOLE) {
            return;
        }
        switch (call) {
            case CallSpec.Completion completion -> latencies.recordCompletion(nanos);
            case CallSpec.Order order -> latencies.recordOrder(nanos);
        }
    }

    /**
     * Returns the statistics.
     *
     * @return the statistics, complete after {@link #run} has returned
     */
    public LoadStatistics statistics() {
        return statistics;
    }

    /**
     * Returns the latencies.
     *
     * @return the latency histograms
     */
    public LatencyHistograms latencies() {
        return latencies;
    }
}
