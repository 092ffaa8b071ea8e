package io.sesamehead.bench.request;

import io.sesamehead.bench.Benchmark;
import io.sesamehead.bench.Row;
import io.sesamehead.bench.Seeds;
import io.sesamehead.bench.VirtualTime;
import io.sesamehead.coordination.request.AttemptOutcome;
import io.sesamehead.coordination.request.NextStep;
import io.sesamehead.coordination.request.RequestLifecycle;
import io.sesamehead.coordination.request.RetryBudget;
import io.sesamehead.state.AttemptId;
import io.sesamehead.state.RequestId;
import java.util.List;
import java.util.SplittableRandom;

/** Attempts per call while half of the capacity is lost and when it comes back. */
public final class RetryBenchmark implements Benchmark {
    /** Retries are limited to a tenth of calls. */
    static final double ATTEMPTS_BOUND = 1.1;

    private static final double CALLS_PER_SECOND = 300;
    private static final int FULL_CAPACITY = 33;
    private static final int HALF_CAPACITY = 15;
    private static final long SLICE_MILLIS = 100;
    private static final long LOST_MILLIS = 60_000;
    private static final long BACK_MILLIS = 90_000;
    private static final long RUN_MILLIS = 120_000;
    private static final long BACKOFF_MILLIS = 100;

    /** Creates the benchmark. */
    public RetryBenchmark() {}

    @Override
    public String name() {
        return "retries";
    }

    @Override
    public List<Row> run(Seeds seeds) {
        return List.of(row("peak second", 1, seeds), row("peak 10 seconds", 10, seeds));
    }

    private static Row row(String window, int seconds, Seeds seeds) {
        double unlimited = worst(seeds, false, seconds);
        return new Row(
                "retries",
                "half of the capacity lost for 30 s; attempts per call, " + window,
                seeds,
                "unlimited " + Row.figure(unlimited),
                worst(seeds, true, seconds),
                Row.Bound.atMost(ATTEMPTS_BOUND));
    }

    static double worst(Seeds seeds, boolean budgeted, int seconds) {
        return seeds.stream()
                .mapToDouble(seed -> new Run(seed, budgeted).peak(seconds))
                .max()
                .orElseThrow();
    }

    /** One daemon, and upstreams that refuse what exceeds their capacity. */
    private static final class Run {
        private final VirtualTime time = new VirtualTime();
        private final SplittableRandom random;
        private final RetryBudget budget;
        private final int[] calls = new int[(int) (RUN_MILLIS / 1_000) + 1];
        private final int[] attempts = new int[(int) (RUN_MILLIS / 1_000) + 1];
        private int used;
        private long numbers;

        Run(long seed, boolean budgeted) {
            random = new SplittableRandom(seed);
            budget = budgeted
                    ? new RetryBudget()
                    : new RetryBudget(0, Double.MAX_VALUE, RetryBudget.DEFAULT_HALF_LIFE_MILLIS);
        }

        double peak(int seconds) {
            time.every(SLICE_MILLIS, () -> used = 0);
            arrive();
            time.runUntil(RUN_MILLIS - 1);
            double peak = 0;
            for (int from = 0; from + seconds <= RUN_MILLIS / 1_000; from++) {
                int callSum = 0;
                int attemptSum = 0;
                for (int second = from; second < from + seconds; second++) {
                    callSum += calls[second];
                    attemptSum += attempts[second];
                }
                peak = Math.max(peak, (double) attemptSum / callSum);
            }
            return peak;
        }

        private void arrive() {
            calls[second()]++;
            budget.recordCall(time.nowMillis());
            attempt(new RequestLifecycle(new RequestId("request-" + numbers++), true, time.nowMillis() + 30_000));
            time.after(Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / CALLS_PER_SECOND), this::arrive);
        }

        private void attempt(RequestLifecycle run) {
            attempts[second()]++;
            AttemptId attempt = run.beginAttempt().orElseThrow();
            run.markSending(attempt);
            used++;
            AttemptOutcome end = used <= capacity()
                    ? new AttemptOutcome.Completed()
                    : new AttemptOutcome.Refused("the queue is full");
            if (run.endAttempt(attempt, end, budget, time.nowMillis()) instanceof NextStep.Retry) {
                time.after(BACKOFF_MILLIS, () -> attempt(run));
            }
        }

        private int capacity() {
            boolean lost = time.nowMillis() >= LOST_MILLIS && time.nowMillis() < BACK_MILLIS;
            return lost ? HALF_CAPACITY : FULL_CAPACITY;
        }

        private int second() {
            return (int) (time.nowMillis() / 1_000);
        }
    }
}
