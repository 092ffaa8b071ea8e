package io.sesamehead.coordination.catalog;

import io.sesamehead.state.ServiceName;

/**
 * One service that a route sends calls to.
 *
 * @param service the service
 * @param weight its share of the route's calls, relative to the other backends
 */
public record Backend(ServiceName service, int weight) {}
