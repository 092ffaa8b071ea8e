package io.sesamehead.cli.report;

/**
 * Counters and latencies of one service and client account on one daemon.
 *
 * @param counters the counters since the start of the daemon
 * @param firstTokenP95Millis recent 95th percentile of the time to the first token, in milliseconds
 * @param betweenTokensP95Millis recent 95th percentile of the time between tokens, in milliseconds
 */
public record ServiceLevel(ServiceLevelCounters counters, double firstTokenP95Millis, double betweenTokensP95Millis) {}
