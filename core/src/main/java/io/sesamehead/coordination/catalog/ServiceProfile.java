package io.sesamehead.coordination.catalog;

import io.sesamehead.state.ServiceName;
import java.util.Optional;

/**
 * A service that routes may refer to.
 *
 * @param name the service
 * @param maxConnections maximum number of connections that one upstream accepts from all callers together
 * @param engine present if groups of upstreams serve models; empty for a plain service
 * @param coldPerSecond requests per second that an upstream tolerates while it is cold; 0 if it is never cold
 * @param coldStartMillis time for which an upstream is cold after it starts during traffic, in milliseconds
 */
public record ServiceProfile(
        ServiceName name,
        int maxConnections,
        Optional<EngineProfile> engine,
        double coldPerSecond,
        long coldStartMillis) {
    /**
     * Creates the profile of a service whose upstreams are never cold.
     *
     * @param name the service
     * @param maxConnections maximum number of connections that one upstream accepts from all callers together
     * @param engine present if groups of upstreams serve models; empty for a plain service
     */
    public ServiceProfile(ServiceName name, int maxConnections, Optional<EngineProfile> engine) {
        this(name, maxConnections, engine, 0, 0);
    }
}
