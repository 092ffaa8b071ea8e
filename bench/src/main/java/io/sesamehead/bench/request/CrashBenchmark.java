package io.sesamehead.bench.request;

import io.sesamehead.bench.Benchmark;
import io.sesamehead.bench.Row;
import io.sesamehead.bench.Seeds;
import java.util.List;

/** Groups that one request crashes when its caller repeats it, with and without the rule for suspects. */
public final class CrashBenchmark implements Benchmark {
    /** Stated target of groups lost to one request. */
    static final int GROUPS_BOUND = 2;

    /** An innocent call shares two groups with the crashing one in about one of three runs. */
    private static final int RUNS = 40;

    /** Creates the benchmark. */
    public CrashBenchmark() {}

    @Override
    public String name() {
        return "crashes";
    }

    @Override
    public List<Row> run(Seeds range) {
        Seeds seeds = new Seeds(range.first(), range.first() + RUNS - 1);
        CrashRun.Figures chosen = worst(seeds, true);
        CrashRun.Figures baseline = worst(seeds, false);
        String setting = "12 groups, 4 daemons, request repeated 20 times; ";
        return List.of(
                new Row(
                        "crashing request",
                        setting + "groups lost",
                        seeds,
                        "without suspects " + baseline.groupsLost(),
                        chosen.groupsLost(),
                        Row.Bound.atMost(GROUPS_BOUND)),
                new Row(
                        "crashing request",
                        setting + "innocent calls that did not end whole",
                        seeds,
                        "without suspects " + baseline.innocentsNotWhole(),
                        chosen.innocentsNotWhole(),
                        Row.Bound.atMost(0)));
    }

    static CrashRun.Figures worst(Seeds seeds, boolean suspects) {
        return seeds.stream()
                .mapToObj(seed -> CrashRun.measure(seed, suspects))
                .reduce((a, b) -> new CrashRun.Figures(
                        Math.max(a.groupsLost(), b.groupsLost()),
                        Math.max(a.innocentsNotWhole(), b.innocentsNotWhole())))
                .orElseThrow();
    }
}
