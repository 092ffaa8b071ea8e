package io.sesamehead.cli.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Latency histograms of a load run, in microseconds. Thread-safe. */
public final class LatencyHistograms {
    private static final long MAX_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000.0;

    private final Histogram firstToken = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram betweenTokens = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram completions = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram orders = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);

    void recordFirstToken(long nanos) {
        record(firstToken, nanos);
    }

    void recordBetweenTokens(long nanos) {
        record(betweenTokens, nanos);
    }

    void recordCompletion(long nanos) {
        record(completions, nanos);
    }

    void recordOrder(long nanos) {
        record(orders, nanos);
    }

    /**
     * Encodes the percentiles of all histograms.
     *
     * @return a JSON object with latencies in milliseconds
     */
    public ObjectNode toJson() {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.set("firstTokenMillis", percentiles(firstToken));
        node.set("betweenTokensMillis", percentiles(betweenTokens));
        node.set("completionMillis", percentiles(completions));
        node.set("orderMillis", percentiles(orders));
        return node;
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.min(MAX_MICROS, Math.max(0, nanos / 1000)));
    }

    private static ObjectNode percentiles(Histogram histogram) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("count", histogram.getTotalCount());
        node.put("p50", histogram.getValueAtPercentile(50) / MICROS_PER_MILLI);
        node.put("p95", histogram.getValueAtPercentile(95) / MICROS_PER_MILLI);
        node.put("p99", histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
        node.put("max", histogram.getMaxValue() / MICROS_PER_MILLI);
        return node;
    }
}
