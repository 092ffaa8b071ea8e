package io.sesamehead.coordination.catalog;

import io.sesamehead.state.ServiceName;
import java.util.Optional;

/**
 * A service that routes may refer to.
 *
 * @param name the service
 * @param maxConnections maximum number of connections that one upstream accepts from all callers together
 * @param engine present if groups of upstreams serve models; empty for a plain service
 */
public record ServiceProfile(ServiceName name, int maxConnections, Optional<EngineProfile> engine) {}
