package io.sesamehead.coordination.catalog;

import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Map;

/**
 * One accepted version of the configuration.
 *
 * @param version version set by the operators, which only increases
 * @param routes all routes
 * @param services all services by name
 * @param limits limits for callers
 * @param keysRequired whether calls need an API key unless their route is anonymous
 * @param tenantsByKey tenants by API key
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
