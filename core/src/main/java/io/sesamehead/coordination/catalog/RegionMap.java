package io.sesamehead.coordination.catalog;

import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Region;
import java.util.Map;
import java.util.Optional;

/**
 * Where this daemon and the failure domains are.
 *
 * @param own region of this daemon, empty if it is not known
 * @param regions region of each failure domain whose region is known
 */
public record RegionMap(Optional<Region> own, Map<FailureDomain, Region> regions) {
    /** Copies the map. */
    public RegionMap {
        regions = Map.copyOf(regions);
    }

    /**
     * Returns the region of a failure domain.
     *
     * @param failureDomain the failure domain
     * @return the region, or empty if it is not known
     */
    public Optional<Region> region(FailureDomain failureDomain) {
        return Optional.ofNullable(regions.get(failureDomain));
    }
}
