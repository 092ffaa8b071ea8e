package io.sesamehead.entry.runtime;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;

/** Counters, gauges and latency histograms of a daemon, written as text for monitoring systems. Event loop only. */
public final class DaemonMetrics {
    /** Longest time that a histogram holds, in milliseconds. */
    private static final long MAX_MILLIS = 60_000;
    /** Decimal digits that a histogram keeps. */
    private static final int DIGITS = 2;

    private static final double[] QUANTILES = {0.5, 0.95, 0.99};
    private static final double PERCENT = 100;

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, Histogram> histograms = new TreeMap<>();

    /**
     * Adds to a counter.
     *
     * @param name name, with labels in braces; label values come from closed lists, never from callers
     */
    public void count(String name) {
        counter(name).inc();
    }

    /**
     * Returns a counter.
     *
     * @param name its name
     * @return the counter
     */
    public Counter counter(String name) {
        return registry.counter(name);
    }

    /**
     * Registers a value that is read when metrics are asked for.
     *
     * @param name its name
     * @param value reads it
     */
    public void gauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Sets a value that its owner reports now and then.
     *
     * @param name its name
     * @param value the value
     */
    public void set(String name, long value) {
        Counter counter = counter(name);
        counter.inc(value - counter.getCount());
    }

    /**
     * Records a time.
     *
     * @param name name of the histogram
     * @param millis the time, in milliseconds
     */
    public void time(String name, long millis) {
        histograms
                .computeIfAbsent(name, key -> new Histogram(MAX_MILLIS, DIGITS))
                .recordValue(Math.max(0, Math.min(MAX_MILLIS, millis)));
    }

    /**
     * Writes all metrics.
     *
     * @return one line for each value
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
