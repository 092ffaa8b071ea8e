package io.sesamehead.entry.port;

import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;

/**
 * The endpoint at which a daemon receives reports from other daemons.
 *
 * @param reportsTo UDP endpoint
 * @param failureDomain failure domain of the daemon
 */
public record DaemonEndpoint(Endpoint reportsTo, FailureDomain failureDomain) {}
