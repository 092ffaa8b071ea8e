package io.sesamehead.coordination.catalog;

import io.sesamehead.state.ServiceName;

/**
 * A service to which a route sends calls.
 *
 * @param service the service
 * @param weight share of the route's calls, relative to the weights of the other backends
 */
public record Backend(ServiceName service, int weight) {}
