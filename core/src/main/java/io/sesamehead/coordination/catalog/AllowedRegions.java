package io.sesamehead.coordination.catalog;

import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Region;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which upstreams may run a call and which daemons it may be passed on to, from the regions that its route and its
 * tenant allow. Where both state regions, both apply. A failure domain whose region is not known is outside of all regions.
 * Immutable.
 */
public final class AllowedRegions {
    private final RegionMap map;
    /** The allowed regions, empty if all are allowed. A present set may be empty. */
    private final Optional<Set<Region>> allowed;

    private AllowedRegions(RegionMap map, Optional<Set<Region>> allowed) {
        this.map = map;
        this.allowed = allowed;
    }

    /**
     * Returns the decision for the calls of a tenant on a route.
     *
     * @param route the route
     * @param tenant the tenant, if the call has one
     * @param map where this daemon and the failure domains are
     * @return the decision
     */
    public static AllowedRegions of(Route route, Optional<Tenant> tenant, RegionMap map) {
        Set<Region> ofRoute = route.allowedRegions();
        Set<Region> ofTenant = tenant.map(Tenant::allowedRegions).orElse(Set.of());
        if (ofRoute.isEmpty() || ofTenant.isEmpty()) {
            Set<Region> stated = ofRoute.isEmpty() ? ofTenant : ofRoute;
            return new AllowedRegions(map, stated.isEmpty() ? Optional.empty() : Optional.of(stated));
        }
        Set<Region> both = new HashSet<>(ofRoute);
        both.retainAll(ofTenant);
        return new AllowedRegions(map, Optional.of(Set.copyOf(both)));
    }

    /**
     * Returns whether a call may run anywhere.
     *
     * @return true if neither its route nor its tenant states regions
     */
    public boolean allowsAll() {
        return allowed.isEmpty();
    }

    /**
     * Returns whether an upstream may run the call.
     *
     * @param failureDomain failure domain of the upstream
     * @return true if its region is allowed
     */
    public boolean allowsUpstream(FailureDomain failureDomain) {
        return allowed.isEmpty()
                || map.region(failureDomain).filter(allowed.get()::contains).isPresent();
    }

    /**
     * Returns whether the call may be passed on to another daemon. The caller has chosen the region of this daemon, so that
     * the call is there already.
     *
     * @param failureDomain failure domain of the daemon
     * @return true if it is in an allowed region or in the region of this daemon
     */
    public boolean allowsPeer(FailureDomain failureDomain) {
        Optional<Region> region = map.region(failureDomain);
        return allowsUpstream(failureDomain) || (region.isPresent() && region.equals(map.own()));
    }

    @Override
    public String toString() {
        return allowed.map(Object::toString).orElse("all");
    }
}
