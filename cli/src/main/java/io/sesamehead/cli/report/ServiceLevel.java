package io.sesamehead.cli.report;

/**
 * Counters and latencies of one service and client account at one daemon.
 *
 * @param counters the counters since the daemon's start
 * @param firstTokenP95Millis recent 95th percentile of the first token
 * @param betweenTokensP95Millis recent 95th percentile of the time between tokens
 */
public record ServiceLevel(ServiceLevelCounters counters, double firstTokenP95Millis, double betweenTokensP95Millis) {}
