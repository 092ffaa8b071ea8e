package io.sesamehead.entry.port;

import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;

/**
 * Where a daemon receives the reports of others.
 *
 * @param reportsTo its UDP endpoint
 * @param failureDomain its failure domain
 */
public record DaemonEndpoint(Endpoint reportsTo, FailureDomain failureDomain) {}
