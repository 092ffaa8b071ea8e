package io.sesamehead.coordination.admission;

import io.sesamehead.coordination.catalog.Backend;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.catalog.Tenant;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Ranks of calls under a configuration. */
public final class RankedServices {
    private RankedServices() {}

    /**
     * Finds the services whose slots are divided by rank and account.
     *
     * @param config the configuration
     * @return the services whose routes have at least two different ranks
     */
    public static Set<ServiceName> of(ServingConfig config) {
        Map<ServiceName, Integer> ranks = new HashMap<>();
        Set<ServiceName> ranked = new HashSet<>();
        for (Route route : config.routes()) {
            for (Backend backend : route.backends()) {
                Integer other = ranks.putIfAbsent(backend.service(), route.priority());
                if (other != null && other != route.priority()) {
                    ranked.add(backend.service());
                }
            }
        }
        return Set.copyOf(ranked);
    }

    /**
     * Returns the rank of a call.
     *
     * @param route its route
     * @param tenant owner of its key, empty if it has none
     * @return the tenant's rank if it has one, otherwise the route's; 0 is the most urgent
     */
    public static int rank(Route route, Optional<Tenant> tenant) {
        int stated =
                tenant.map(owner -> owner.priority().orElse(route.priority())).orElse(route.priority());
        return Math.max(0, stated);
    }
}
