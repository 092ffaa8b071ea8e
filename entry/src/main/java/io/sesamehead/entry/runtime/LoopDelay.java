package io.sesamehead.entry.runtime;

import org.HdrHistogram.Histogram;

/**
 * Delay of the event loop: how late its periodic task runs. Whatever becomes ready waits as long before the daemon sees
 * it, so the durations of single calls do not contain this time. Confined to the event loop.
 */
final class LoopDelay {
    private static final long MAX_MILLIS = 60_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double MEDIAN = 50;
    private static final double HIGH_PERCENTILE = 95;

    private final Histogram delays = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private final EventLog log;

    LoopDelay(EventLog log) {
        this.log = log;
    }

    /** Records that the periodic task ran this much later than planned. */
    void record(long lateMillis) {
        delays.recordValue(Math.max(0, Math.min(MAX_MILLIS, lateMillis)));
    }

    /** Logs the delays since the last call. */
    void logAndReset() {
        log.write(
                EventLog.Component.DAEMON,
                "loop-delay",
                "p50_ms",
                delays.getValueAtPercentile(MEDIAN),
                "p95_ms",
                delays.getValueAtPercentile(HIGH_PERCENTILE),
                "max_ms",
                delays.getMaxValue(),
                "turns",
                delays.getTotalCount());
        delays.reset();
    }
}
