package io.sesamehead.entry.runtime;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;

/** Counters, gauges and latency histograms of a daemon, rendered as text. Must only be used on the event loop. */
public final class DaemonMetrics {
    /** Maximum value of a histogram, in milliseconds. Longer times are recorded as this value. */
    private static final long MAX_MILLIS = 60_000;
    /** Significant decimal digits of histogram values. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private static final double[] QUANTILES = {0.5, 0.95, 0.99};
    private static final double PERCENT = 100;

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, Histogram> histograms = new TreeMap<>();

    /**
     * Increments a counter.
     *
     * @param name name, with labels in braces; label values come from fixed sets, never from callers
     */
    public void count(String name) {
        counter(name).inc();
    }

    /**
     * Returns a counter, which is created if needed.
     *
     * @param name name of the counter
     * @return the counter
     */
    public Counter counter(String name) {
        return registry.counter(name);
    }

    /**
     * Registers a gauge.
     *
     * @param name name of the gauge
     * @param value supplies its value each time the metrics are rendered
     */
    public void gauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Sets a value that its owner updates periodically.
     *
     * @param name name of the value
     * @param value the new value
     */
    public void set(String name, long value) {
        Counter counter = counter(name);
        counter.inc(value - counter.getCount());
    }

    /**
     * Records a duration in a histogram.
     *
     * @param name name of the histogram
     * @param millis the duration, in milliseconds
     */
    public void time(String name, long millis) {
        histograms
                .computeIfAbsent(name, key -> new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS))
                .recordValue(Math.max(0, Math.min(MAX_MILLIS, millis)));
    }

    /**
     * Renders all metrics as text.
     *
     * @return one line per value
     */
    public String text() {
        StringBuilder text = new StringBuilder();
        registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> line(text, name, gauge.getValue()));
        histograms.forEach((name, histogram) -> {
            for (double quantile : QUANTILES) {
                line(
                        text,
                        name + "{quantile=\"" + quantile + "\"}",
                        histogram.getValueAtPercentile(quantile * PERCENT));
            }
            line(text, name + "_count", histogram.getTotalCount());
        });
        return text.toString();
    }

    private static void line(StringBuilder text, String name, Object value) {
        text.append("sesamehead_").append(name).append(' ').append(value).append('\n');
    }
}
