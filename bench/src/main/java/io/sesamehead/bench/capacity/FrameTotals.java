package io.sesamehead.bench.capacity;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;

/**
 * Values of the counters of the peer mesh at one moment.
 *
 * @param counters values by name, without the prefix {@code peer.}
 */
record FrameTotals(Map<String, Long> counters) {
    private static final String PREFIX = "peer.";

    static FrameTotals of(MetricRegistry metrics) {
        Map<String, Long> values = new TreeMap<>();
        metrics.getCounters().forEach((name, counter) -> {
            if (name.startsWith(PREFIX)) {
                values.put(name.substring(PREFIX.length()), counter.getCount());
            }
        });
        return new FrameTotals(values);
    }

    /** Returns what was counted since an earlier moment, without the counters that did not move. */
    FrameTotals since(FrameTotals before) {
        Map<String, Long> values = new TreeMap<>();
        counters.forEach((name, value) -> {
            long difference = value - before.counters.getOrDefault(name, 0L);
            if (difference != 0) {
                values.put(name, difference);
            }
        });
        return new FrameTotals(values);
    }

    FrameTotals plus(FrameTotals other) {
        Map<String, Long> values = new TreeMap<>(counters);
        other.counters.forEach((name, value) -> values.merge(name, value, Long::sum));
        return new FrameTotals(values);
    }

    /** Returns the sum of the counters whose names start and end like this. */
    long sum(String start, String end) {
        return counters.entrySet().stream()
                .filter(it -> it.getKey().startsWith(start) && it.getKey().endsWith(end))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }
}
