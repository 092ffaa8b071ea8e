package io.sesamehead.bench.routing;

import io.sesamehead.bench.Benchmark;
import io.sesamehead.bench.Row;
import io.sesamehead.bench.Seeds;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Routing with lagging load reports, shared prefixes and a straggler against three baselines. */
public final class RoutingBenchmark implements Benchmark {
    /** Stated target of the first token at the 95th percentile, in milliseconds. */
    static final double FIRST_TOKEN_MILLIS = 1_300;

    private static final Map<String, Choice.Factory> BASELINES = new LinkedHashMap<>();

    static {
        BASELINES.put("random", Choice.Random::new);
        BASELINES.put("round robin", Choice.RoundRobin::new);
        BASELINES.put("least own connections", Choice.LeastOwn::new);
    }

    /** Creates the benchmark. */
    public RoutingBenchmark() {}

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public List<Row> run(Seeds seeds) {
        List<Row> rows = new ArrayList<>();
        for (boolean straggler : new boolean[] {false, true}) {
            String setting = straggler ? "12 groups, one of them 3 times slower" : "12 groups";
            RoutingRun.Figures chosen = measure(Choice.Routed::new, seeds, straggler);
            rows.add(new Row(
                    "routing",
                    setting + "; first token at the 95th percentile, ms",
                    seeds,
                    "target",
                    chosen.firstTokenMillis(),
                    Row.Bound.atMost(FIRST_TOKEN_MILLIS)));
            BASELINES.forEach((name, factory) -> {
                RoutingRun.Figures baseline = measure(factory, seeds, straggler);
                rows.add(new Row(
                        "routing",
                        setting + "; first token at the 95th percentile, ms",
                        seeds,
                        name + " " + Row.figure(baseline.firstTokenMillis()),
                        chosen.firstTokenMillis(),
                        Row.Bound.atMost(baseline.firstTokenMillis())));
                rows.add(new Row(
                        "routing",
                        setting + "; prefix hit ratio",
                        seeds,
                        name + " " + Row.figure(baseline.hitRatio()),
                        chosen.hitRatio(),
                        Row.Bound.atLeast(baseline.hitRatio())));
            });
        }
        return rows;
    }

    /** Means over the seeds. */
    static RoutingRun.Figures measure(Choice.Factory factory, Seeds seeds, boolean straggler) {
        List<RoutingRun.Figures> runs = seeds.stream()
                .mapToObj(seed -> RoutingRun.measure(factory, seed, straggler))
                .toList();
        return new RoutingRun.Figures(
                runs.stream()
                        .mapToDouble(RoutingRun.Figures::firstTokenMillis)
                        .average()
                        .orElseThrow(),
                runs.stream()
                        .mapToDouble(RoutingRun.Figures::hitRatio)
                        .average()
                        .orElseThrow());
    }
}
