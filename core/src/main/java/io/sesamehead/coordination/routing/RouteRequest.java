package io.sesamehead.coordination.routing;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.ServiceName;
import java.util.OptionalLong;

/**
 * What routing needs to know about an attempt.
 *
 * @param service the service called
 * @param candidates upstreams that may run the attempt now
 * @param prefixHash hash of the prompt's prefix, or empty when the call has no affinity
 */
public record RouteRequest(ServiceName service, ImmutableSet<UpstreamId> candidates, OptionalLong prefixHash) {}
