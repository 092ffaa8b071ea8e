package io.sesamehead.cli.report;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** Computes burn from samples. */
public final class BurnCalculator {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Objectives objectives;

    /**
     * Creates a calculator.
     *
     * @param objectives the promised shares
     */
    public BurnCalculator(Objectives objectives) {
        this.objectives = objectives;
    }

    /**
     * Computes the report at the newest sample.
     *
     * @param samples at least one sample, oldest first
     * @return the report
     */
    public BurnReport report(List<Sample> samples) {
        Sample newest = samples.getLast();
        Map<BurnWindow, Map<ServiceLevelKey, ServiceLevelCounters>> changes = new TreeMap<>();
        ImmutableMap.Builder<BurnWindow, Double> downtime = ImmutableMap.builder();
        ImmutableMap.Builder<BurnWindow, Double> stranded = ImmutableMap.builder();
        for (BurnWindow window : BurnWindow.values()) {
            int first = firstIndex(samples, window);
            List<Sample> inside = samples.subList(first, samples.size());
            changes.put(window, changes(samples, first));
            downtime.put(window, integrate(inside, sample -> sample.fleet().missingGroups()));
            stranded.put(window, integrate(inside, sample -> sample.fleet().strandedAccelerators()));
        }
        TreeSet<ServiceLevelKey> keys =
                new TreeSet<>(changes.get(BurnWindow.THREE_DAYS).keySet());
        ImmutableList.Builder<BurnReport.Line> lines = ImmutableList.builder();
        keys.forEach(key -> lines.add(line(key, changes, newest)));
        return new BurnReport(
                newest.epochMillis(),
                newest.epochMillis() - samples.getFirst().epochMillis(),
                newest.daemons().size(),
                newest.unresponsiveDaemons(),
                lines.build(),
                newest.fleet(),
                downtime.buildOrThrow(),
                stranded.buildOrThrow());
    }

    /** The last sample before the window starts, from which its changes are counted, or else the first sample. */
    private static int firstIndex(List<Sample> samples, BurnWindow window) {
        long from = samples.getLast().epochMillis() - window.millis();
        int first = 0;
        for (int index = 0; index < samples.size(); index++) {
            if (samples.get(index).epochMillis() <= from) {
                first = index;
            }
        }
        return first;
    }

    /** Adds up what each daemon incarnation counted since the first sample of the window. */
    private static Map<ServiceLevelKey, ServiceLevelCounters> changes(List<Sample> samples, int first) {
        Map<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> last = new TreeMap<>();
        samples.subList(first, samples.size()).forEach(sample -> last.putAll(sample.daemons()));
        Map<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> before = baseline(samples, first);
        Map<ServiceLevelKey, ServiceLevelCounters> changes = new TreeMap<>();
        last.forEach((incarnation, levels) -> levels.forEach((key, level) -> {
            ServiceLevelCounters earlier = Optional.ofNullable(before.get(incarnation))
                    .map(known -> known.get(key))
                    .map(ServiceLevel::counters)
                    .orElse(ServiceLevelCounters.NONE);
            changes.merge(key, level.counters().minus(earlier), ServiceLevelCounters::plus);
        }));
        return changes;
    }

    /**
     * Counters at the start of the window. A daemon that was silent then keeps its counters of an older sample; one
     * that was never seen before counts from its own start. A single sample counts from the starts of the daemons.
     */
    private static Map<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> baseline(List<Sample> samples, int first) {
        Map<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> before = new TreeMap<>();
        if (samples.size() > 1) {
            samples.subList(0, first + 1).forEach(sample -> before.putAll(sample.daemons()));
        }
        return before;
    }

    private interface SampleValue {
        int of(Sample sample);
    }

    /** Each sample's value holds until the next sample. */
    private static double integrate(List<Sample> inside, SampleValue value) {
        double total = 0;
        for (int index = 1; index < inside.size(); index++) {
            long millis =
                    inside.get(index).epochMillis() - inside.get(index - 1).epochMillis();
            total += value.of(inside.get(index - 1)) * millis / MILLIS_PER_SECOND;
        }
        return total;
    }

    private BurnReport.Line line(ServiceLevelKey key, Map<BurnWindow, Map<ServiceLevelKey, ServiceLevelCounters>> changes, Sample newest) {
        ImmutableMap.Builder<BurnWindow, ServiceLevelCounters> counters = ImmutableMap.builder();
        ImmutableMap.Builder<BurnWindow, Double> burn = ImmutableMap.builder();
        changes.forEach((window, byKey) -> {
            ServiceLevelCounters change = byKey.getOrDefault(key, ServiceLevelCounters.NONE);
            counters.put(window, change);
            burn.put(window, Objectives.burnRate(change.bad(), change.calls(), objectives.completeAnswers()));
        });
        ImmutableMap<BurnWindow, ServiceLevelCounters> byWindow = counters.buildOrThrow();
        ServiceLevelCounters hour = byWindow.get(BurnWindow.ONE_HOUR);
        ServiceLevelCounters longest = byWindow.get(BurnWindow.THREE_DAYS);
        return new BurnReport.Line(
                key,
                byWindow,
                burn.buildOrThrow(),
                1 - Objectives.burnRate(longest.bad(), longest.calls(), objectives.completeAnswers()),
                Objectives.burnRate(hour.lateFirstTokens(), hour.firstTokens(), objectives.firstToken()),
                Objectives.burnRate(hour.lateGaps(), hour.gaps(), objectives.betweenTokens()),
                largest(newest, key, ServiceLevel::firstTokenP95Millis),
                largest(newest, key, ServiceLevel::betweenTokensP95Millis));
    }

    private interface LevelValue {
        double of(ServiceLevel level);
    }

    private static double largest(Sample newest, ServiceLevelKey key, LevelValue value) {
        return newest.daemons().values().stream()
                .filter(levels -> levels.containsKey(key))
                .mapToDouble(levels -> value.of(levels.get(key)))
                .max()
                .orElse(0);
    }
}
