package io.sesamehead.coordination.catalog;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a call: the longest path prefix among the routes of the call's host. Immutable. */
public final class RouteTable {
    private final ServingConfig config;
    private final Map<String, Map<String, Route>> routesByHost;

    /**
     * Builds the table of a configuration.
     *
     * @param config the configuration
     */
    public RouteTable(ServingConfig config) {
        this.config = config;
        this.routesByHost = new HashMap<>();
        for (Route route : config.routes()) {
            routesByHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.pathPrefix(), route);
        }
    }

    /**
     * Returns the configuration that the table was built from.
     *
     * @return the configuration
     */
    public ServingConfig config() {
        return config;
    }

    /**
     * Finds the route of a call. The cost grows with the slashes in the path, not with the number of routes.
     *
     * @param hostHeader value of the Host header, with or without a port
     * @param target request target, with or without a query
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String hostHeader, String target) {
        Map<String, Route> prefixes = routesByHost.get(hostName(hostHeader));
        if (prefixes == null) {
            return Optional.empty();
        }
        String path = pathOf(target);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = prefixes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostName(String header) {
        int colon = header.indexOf(':');
        String host = colon < 0 ? header : header.substring(0, colon);
        return host.toLowerCase(Locale.ROOT);
    }

    private static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
