package io.sesamehead.coordination.drain;

/**
 * Progress of a shutdown.
 *
 * @param announced whether the announcement was sent to every live peer
 * @param leaseReleased whether the lease was released or was not held
 * @param callsInFlight number of accepted calls that are not complete
 */
public record ShutdownProgress(boolean announced, boolean leaseReleased, int callsInFlight) {}
