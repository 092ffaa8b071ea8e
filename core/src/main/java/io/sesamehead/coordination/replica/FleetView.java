package io.sesamehead.coordination.replica;

import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.state.FailureDomain;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Input of the planner.
 *
 * @param engine the service's models and limits
 * @param entries the service's upstreams as listed in the registry
 * @param lost groups whose head is lost; a head that is silent for a short time is not
 * @param demand load by model
 * @param trafficSeen whether callers have sent calls; before the first call, the rate of loads is not limited
 * @param formerGroups groups that upstreams have left, as observed in the registry
 * @param firstStart whether this is the first start of the deployment, so that no upstream can have been in a group
 * @param evacuated failure domains to whose upstreams nothing more is sent
 */
public record FleetView(
        EngineProfile engine,
        List<UpstreamEntry> entries,
        Set<ReplicaKey> lost,
        Map<String, ModelDemand> demand,
        boolean trafficSeen,
        FormerGroups formerGroups,
        boolean firstStart,
        Set<FailureDomain> evacuated) {
    /** Copies the collections. */
    public FleetView {
        entries = List.copyOf(entries);
        lost = Set.copyOf(lost);
        demand = Map.copyOf(demand);
        evacuated = Set.copyOf(evacuated);
    }

    /**
     * Creates a view without evacuated failure domains.
     *
     * @param engine the service's models and limits
     * @param entries the service's upstreams as listed in the registry
     * @param lost groups whose head is lost
     * @param demand load by model
     * @param trafficSeen whether callers have sent calls
     * @param formerGroups groups that upstreams have left, as observed in the registry
     * @param firstStart whether this is the first start of the deployment
     */
    public FleetView(
            EngineProfile engine,
            List<UpstreamEntry> entries,
            Set<ReplicaKey> lost,
            Map<String, ModelDemand> demand,
            boolean trafficSeen,
            FormerGroups formerGroups,
            boolean firstStart) {
        this(engine, entries, lost, demand, trafficSeen, formerGroups, firstStart, Set.of());
    }

    /**
     * Returns whether an upstream is in an evacuated failure domain.
     *
     * @param entry the upstream
     * @return true while it must not begin new work
     */
    public boolean isEvacuated(UpstreamEntry entry) {
        return evacuated.contains(entry.failureDomain());
    }
}
