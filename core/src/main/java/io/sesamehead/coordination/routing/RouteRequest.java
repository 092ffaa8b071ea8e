package io.sesamehead.coordination.routing;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.ServiceName;
import java.util.OptionalLong;

/**
 * Properties of an attempt that determine its upstream.
 *
 * @param service the service called
 * @param candidates upstreams that can currently run the attempt
 * @param prefixHash hash of the prompt prefix, or empty if the call has no affinity
 */
public record RouteRequest(ServiceName service, ImmutableSet<UpstreamId> candidates, OptionalLong prefixHash) {}
