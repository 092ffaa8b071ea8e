package io.sesamehead.coordination.drain;

/**
 * What a stopping daemon has done so far.
 *
 * @param announced true once the announcement was sent to every live peer
 * @param leaseReturned true once the lease was given back, or when it was not held
 * @param callsInFlight calls that were accepted and are not finished
 */
public record ShutdownProgress(boolean announced, boolean leaseReturned, int callsInFlight) {}
