package io.sesamehead.bench.admission;

import io.sesamehead.bench.Benchmark;
import io.sesamehead.bench.Row;
import io.sesamehead.bench.Seeds;
import io.sesamehead.coordination.admission.Admission;
import java.util.List;
import java.util.Map;
import java.util.function.LongToDoubleFunction;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Fair shares, overload and come-back times against one queue without shares and with a fixed come-back time. */
public final class AdmissionBenchmark implements Benchmark {
    static final Supplier<CallQueue> SHARED = () -> new CallQueue.Shared(new Admission(AdmissionRun.LIMITS));
    static final Supplier<CallQueue> FIFO = () -> new CallQueue.Fifo(AdmissionRun.LIMITS);

    /** The others' 95th percentile moves by at most a tenth. */
    static final double SHARE_BOUND = 1.1;

    /** Useful work stays within a tenth. */
    static final double USEFUL_BOUND = 0.9;

    /** Returning callers keep below twice their mean rate. */
    static final double PEAK_BOUND = 2;

    private static final int ACCOUNTS = 10;
    private static final long RUN_MILLIS = 600_000;
    private static final long SHARE_DEADLINE_MILLIS = 30_000;
    private static final long OVERLOAD_DEADLINE_MILLIS = 10_000;
    private static final int BURST_CALLS = 4_000;

    /** Creates the benchmark. */
    public AdmissionBenchmark() {}

    @Override
    public String name() {
        return "admission";
    }

    @Override
    public List<Row> run(Seeds seeds) {
        return List.of(
                row(
                        "fair shares",
                        "one account at 10 times its share, the others at 0.8; ratio of the others' 95th percentile",
                        seeds,
                        seed -> othersRatio(FIFO, seed),
                        seed -> othersRatio(SHARED, seed),
                        Row.Bound.atMost(SHARE_BOUND)),
                row(
                        "overload",
                        "2 times capacity; ratio of useful work to that at capacity",
                        seeds,
                        seed -> usefulRatio(FIFO, seed),
                        seed -> usefulRatio(SHARED, seed),
                        Row.Bound.atLeast(USEFUL_BOUND)),
                row(
                        "come-back time",
                        "2 times capacity; refused calls without a come-back time",
                        seeds,
                        seed -> overload(FIFO, seed, 2).withoutComeBack(),
                        seed -> overload(SHARED, seed, 2).withoutComeBack(),
                        Row.Bound.atMost(0)),
                row(
                        "come-back time",
                        "4,000 calls at once; peak second of returns against their mean over the queue's drain time",
                        seeds,
                        seed -> peakRatio(FIFO, seed),
                        seed -> peakRatio(SHARED, seed),
                        Row.Bound.atMost(PEAK_BOUND)));
    }

    /** The worst seed counts. */
    private static Row row(
            String decision,
            String setting,
            Seeds seeds,
            LongToDoubleFunction baseline,
            LongToDoubleFunction chosen,
            Row.Bound bound) {
        boolean least = bound.kind() == Row.Bound.Kind.AT_LEAST;
        double baselineFigure = worst(seeds, baseline, least);
        double chosenFigure = worst(seeds, chosen, least);
        return new Row(decision, setting, seeds, "FIFO " + Row.figure(baselineFigure), chosenFigure, bound);
    }

    private static double worst(Seeds seeds, LongToDoubleFunction figure, boolean least) {
        var figures = seeds.stream().mapToDouble(figure);
        return least ? figures.min().orElseThrow() : figures.max().orElseThrow();
    }

    static double othersRatio(Supplier<CallQueue> queue, long seed) {
        return (double) othersPercentile(queue, seed, true) / othersPercentile(queue, seed, false);
    }

    private static long othersPercentile(Supplier<CallQueue> queue, long seed, boolean large) {
        AdmissionRun run = new AdmissionRun(queue.get(), seed, SHARE_DEADLINE_MILLIS, 0);
        double share = AdmissionRun.capacityPerSecond() / ACCOUNTS;
        List<String> others =
                IntStream.range(1, ACCOUNTS).mapToObj(i -> "account-" + i).toList();
        others.forEach(account -> run.arrivals(account, 0.8 * share));
        if (large) {
            run.arrivals("large", 10 * share);
        }
        run.runUntil(RUN_MILLIS);
        List<Long> responses = others.stream()
                .flatMap(account -> run.responses(account).stream())
                .sorted()
                .toList();
        return responses.get((int) (responses.size() * 0.95));
    }

    static double usefulRatio(Supplier<CallQueue> queue, long seed) {
        return overload(queue, seed, 2).usefulTokens()
                / overload(queue, seed, 1).usefulTokens();
    }

    static AdmissionRun overload(Supplier<CallQueue> queue, long seed, double load) {
        AdmissionRun run = new AdmissionRun(queue.get(), seed, OVERLOAD_DEADLINE_MILLIS, 3);
        for (int i = 0; i < ACCOUNTS; i++) {
            run.arrivals("account-" + i, load * AdmissionRun.capacityPerSecond() / ACCOUNTS);
        }
        run.runUntil(RUN_MILLIS);
        return run;
    }

    static double peakRatio(Supplier<CallQueue> queue, long seed) {
        AdmissionRun run = new AdmissionRun(queue.get(), seed, SHARE_DEADLINE_MILLIS, 1);
        run.arrivals("warm-up", AdmissionRun.capacityPerSecond() / 2);
        run.runUntil(60_000);
        run.burst(BURST_CALLS);
        List<Long> returns = List.copyOf(run.comeBacks());
        Map<Long, Long> bySecond =
                returns.stream().collect(Collectors.groupingBy(at -> at / 1_000, Collectors.counting()));
        double drainSeconds = AdmissionRun.LIMITS.queueLength() / AdmissionRun.capacityPerSecond();
        long peak = bySecond.values().stream().mapToLong(Long::longValue).max().orElseThrow();
        return peak / (returns.size() / drainSeconds);
    }
}
