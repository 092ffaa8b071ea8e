package io.sesamehead.coordination.dispatch;

/**
 * One daemon's calls at one target.
 *
 * @param key the target
 * @param inFlight calls sent and not ended
 * @param silentMillis time since the target last sent an event or answer to any of them, in milliseconds
 * @param suspected whether the daemon believes that the target has stopped
 */
public record TargetReport(TargetKey key, int inFlight, long silentMillis, boolean suspected) {}
