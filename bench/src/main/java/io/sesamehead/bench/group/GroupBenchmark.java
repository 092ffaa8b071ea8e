package io.sesamehead.bench.group;

import io.sesamehead.bench.Benchmark;
import io.sesamehead.bench.Row;
import io.sesamehead.bench.Seeds;
import io.sesamehead.coordination.group.RepairPolicy;
import io.sesamehead.state.ReleaseNote.PolicySettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/** Repair or wait, and spares: cost by the operators' weight against fixed time-outs and against no spares. */
public final class GroupBenchmark implements Benchmark {
    private static final List<GroupSetting> SETTINGS =
            List.of(GroupSetting.LAKAMBINI, GroupSetting.GWYNEDD, GroupSetting.DESIGN);
    private static final Function<PolicySettings, RepairPolicy> SHORT = ignored -> new RepairPolicy.FixedTimeout(5_000);
    private static final Function<PolicySettings, RepairPolicy> LONG =
            ignored -> new RepairPolicy.FixedTimeout(600_000);
    private static final Function<PolicySettings, RepairPolicy> AT_ONCE = ignored -> new RepairPolicy.FixedTimeout(0);
    private static final Function<PolicySettings, RepairPolicy> NEVER =
            ignored -> new RepairPolicy.FixedTimeout(Long.MAX_VALUE);
    private static final double[] WEIGHTS = {0, 0.2, 0.5, 0.8, 0.9, 0.95, 1};
    private static final long[] PAUSES_MILLIS = {10_000, 30_000, 60_000, 110_000, 130_000, 240_000, 600_000};

    /** Two times the best choice in hindsight is the stated target of waiting as long as a reload takes. */
    private static final double HINDSIGHT_BOUND = 2;

    /** Creates the benchmark. */
    public GroupBenchmark() {}

    @Override
    public String name() {
        return "repair";
    }

    @Override
    public List<Row> run(Seeds seeds) {
        List<Row> rows = new ArrayList<>();
        rows.add(new Row(
                "repair or wait",
                "one pause, downtime against the best choice in hindsight",
                seeds,
                "hindsight 1.000",
                worstHindsightRatio(RepairPolicy::of),
                Row.Bound.atMost(HINDSIGHT_BOUND)));
        SETTINGS.forEach(setting -> rows.addAll(compare(setting, seeds)));
        return rows;
    }

    /** Compares single pauses with the better of repairing at once and never. */
    static double worstHindsightRatio(Function<PolicySettings, RepairPolicy> repairs) {
        double worst = 0;
        for (long pauseMillis : PAUSES_MILLIS) {
            List<Fault> pause = List.of(new Fault(10_000, Fault.Kind.PAUSE, 0, pauseMillis));
            double best = Math.min(onePause(AT_ONCE, pause), onePause(NEVER, pause));
            worst = Math.max(worst, onePause(repairs, pause) / best);
        }
        return worst;
    }

    private static double onePause(Function<PolicySettings, RepairPolicy> repairs, List<Fault> pause) {
        return GroupRun.measure(GroupSetting.LAKAMBINI, repairs, pause, 3_600_000, GroupRun.ACTIVE_STEP_MILLIS)
                .downtime();
    }

    private static List<Row> compare(GroupSetting setting, Seeds seeds) {
        double weight = setting.downtimeWeight();
        Map<Integer, GroupFigures> bySpares = new TreeMap<>();
        Stream.of(0, 1, setting.fabricDomains(), setting.spares(), 2 * setting.fabricDomains())
                .forEach(spares -> bySpares.computeIfAbsent(
                        spares, ignored -> measure(setting.withSpares(spares), RepairPolicy::of, seeds)));
        GroupFigures chosen = bySpares.get(setting.spares());
        String what = setting.name() + ", weight " + weight + ", cost %";
        List<Row> rows = new ArrayList<>();
        rows.add(costRow("repair or wait", what, seeds, "5 s", measure(setting, SHORT, seeds), chosen, weight));
        rows.add(costRow("repair or wait", what, seeds, "600 s", measure(setting, LONG, seeds), chosen, weight));
        rows.add(costRow(
                "spares", setting.spares() + " spares, " + what, seeds, "no spares", bySpares.get(0), chosen, weight));
        for (double point : WEIGHTS) {
            Map.Entry<Integer, GroupFigures> best = bySpares.entrySet().stream()
                    .min(Comparator.comparingDouble(entry -> entry.getValue().cost(point)))
                    .orElseThrow();
            String curve = setting.name() + ", weight " + point + ", cost %, best spares " + best.getKey();
            rows.add(new Row(
                    "spares by weight",
                    curve,
                    seeds,
                    text("no spares", bySpares.get(0), point),
                    best.getValue().cost(point),
                    Row.Bound.none()));
        }
        return rows;
    }

    private static Row costRow(
            String decision,
            String what,
            Seeds seeds,
            String baselineName,
            GroupFigures baseline,
            GroupFigures chosen,
            double weight) {
        String setting = what + " (downtime " + Row.figure(chosen.downtimePercent()) + ", stranded "
                + Row.figure(chosen.strandedPercent()) + ")";
        Row.Bound bound = Row.Bound.atMost(baseline.cost(weight));
        return new Row(decision, setting, seeds, text(baselineName, baseline, weight), chosen.cost(weight), bound);
    }

    private static String text(String name, GroupFigures figures, double weight) {
        return name + " " + Row.figure(figures.cost(weight)) + " (downtime " + Row.figure(figures.downtimePercent())
                + ", stranded " + Row.figure(figures.strandedPercent()) + ")";
    }

    static GroupFigures measure(GroupSetting setting, Function<PolicySettings, RepairPolicy> repairs, Seeds seeds) {
        int vms = setting.vms().size();
        return seeds.stream()
                .boxed()
                .flatMap(
                        seed -> LongStream.range(0, setting.failureDomains()).mapToObj(domain -> seed * 1_000 + domain))
                .toList()
                .parallelStream()
                .map(seed -> GroupRun.measure(setting, repairs, FaultList.draw(seed, vms), FaultList.RUN_MILLIS))
                .toList()
                .stream()
                .reduce(GroupFigures.NONE, GroupFigures::plus);
    }
}
