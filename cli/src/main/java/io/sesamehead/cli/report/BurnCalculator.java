package io.sesamehead.cli.report;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** Computes error budget burn rates from samples of the fleet's counters. */
public final class BurnCalculator {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Objectives objectives;

    /**
     * Creates a calculator.
     *
     * @param objectives the service level objectives
     */
    public BurnCalculator(Objectives objectives) {
        this.objectives = objectives;
    }

    /**
     * Computes the report as of the newest sample.
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
            List<Sample> windowSamples = samples.subList(first, samples.size());
            changes.put(window, changes(samples, first));
            downtime.put(
                    window, integrate(windowSamples, sample -> sample.fleet().missingGroups()));
            stranded.put(
                    window, integrate(windowSamples, sample -> sample.fleet().strandedAccelerators()));
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

    /**
     * Returns the index of the last sample at or before the start of the window, the baseline of its changes; 0 if no
     * sample is that old.
     */
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

    /** Sums the counter increases of all daemon incarnations since the first sample of the window. */
    private static Map<ServiceLevelKey, ServiceLevelCounters> changes(List<Sample> samples, int first) {
        Map<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> last = new TreeMap<>();
        samples.subList(first, samples.size()).forEach(sample -> last.putAll(sample.daemons()));
        Map<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> baselineLevels = baseline(samples, first);
        Map<ServiceLevelKey, ServiceLevelCounters> changes = new TreeMap<>();
        last.forEach((incarnation, levels) -> levels.forEach((key, level) -> {
            ServiceLevelCounters earlier = Optional.ofNullable(baselineLevels.get(incarnation))
                    .map(serviceLevels -> serviceLevels.get(key))
                    .map(ServiceLevel::counters)
                    .orElse(ServiceLevelCounters.NONE);
            changes.merge(key, level.counters().minus(earlier), ServiceLevelCounters::plus);
        }));
        return changes;
    }

    /**
     * Returns the counters at the start of the window. A daemon that did not respond then keeps its counters from an
     * older sample; a daemon without an earlier sample counts from its own start. With a single sample, all daemons
     * count from their own starts.
     */
    private static Map<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> baseline(List<Sample> samples, int first) {
        Map<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> baselineLevels = new TreeMap<>();
        if (samples.size() > 1) {
            samples.subList(0, first + 1).forEach(sample -> baselineLevels.putAll(sample.daemons()));
        }
        return baselineLevels;
    }

    private interface SampleValue {
        int of(Sample sample);
    }

    /** Integrates a value over time in seconds; each sample's value applies until the next sample. */
    private static double integrate(List<Sample> windowSamples, SampleValue value) {
        double total = 0;
        for (int index = 1; index < windowSamples.size(); index++) {
            long millis = windowSamples.get(index).epochMillis()
                    - windowSamples.get(index - 1).epochMillis();
            total += value.of(windowSamples.get(index - 1)) * millis / MILLIS_PER_SECOND;
        }
        return total;
    }

    private BurnReport.Line line(
            ServiceLevelKey key, Map<BurnWindow, Map<ServiceLevelKey, ServiceLevelCounters>> changes, Sample newest) {
        ImmutableMap.Builder<BurnWindow, ServiceLevelCounters> counters = ImmutableMap.builder();
        ImmutableMap.Builder<BurnWindow, Double> burn = ImmutableMap.builder();
        changes.forEach((window, byKey) -> {
            ServiceLevelCounters change = byKey.getOrDefault(key, ServiceLevelCounters.NONE);
            counters.put(window, change);
            burn.put(window, Objectives.burnRate(change.bad(), change.calls(), objectives.completeAnswers()));
        });
        ImmutableMap<BurnWindow, ServiceLevelCounters> byWindow = counters.buildOrThrow();
        ServiceLevelCounters hour = byWindow.get(BurnWindow.ONE_HOUR);
        ServiceLevelCounters threeDays = byWindow.get(BurnWindow.THREE_DAYS);
        return new BurnReport.Line(
                key,
                byWindow,
                burn.buildOrThrow(),
                1 - Objectives.burnRate(threeDays.bad(), threeDays.calls(), objectives.completeAnswers()),
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
