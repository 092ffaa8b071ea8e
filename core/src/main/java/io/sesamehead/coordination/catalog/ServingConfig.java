package io.sesamehead.coordination.catalog;

import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Map;

/**
 * One accepted configuration.
 *
 * @param version the operators' version, which only grows
 * @param routes all routes
 * @param services all services by name
 * @param limits what callers may send
 * @param keysRequired whether calls need a key unless their route is anonymous
 * @param tenantsByKey holders by key
 */
public record ServingConfig(
        long version,
        List<Route> routes,
        Map<ServiceName, ServiceProfile> services,
        CallLimits limits,
        boolean keysRequired,
        Map<String, Tenant> tenantsByKey) {
    /** Copies the collections. */
    public ServingConfig {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        tenantsByKey = Map.copyOf(tenantsByKey);
    }
}
