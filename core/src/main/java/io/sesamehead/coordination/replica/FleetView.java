package io.sesamehead.coordination.replica;

import io.sesamehead.coordination.catalog.EngineProfile;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the planner decides from.
 *
 * @param engine the service's models and limits
 * @param entries the service's upstreams as listed
 * @param stalled groups whose streams have fallen silent
 * @param demand load by model
 * @param trafficSeen whether callers have sent calls; before that, loads are not limited by rate
 * @param formerGroups what the registry has shown of groups that upstreams have left
 * @param firstStart whether the deployment starts for the first time, so that no upstream can have been in a group
 */
public record FleetView(
        EngineProfile engine,
        List<UpstreamEntry> entries,
        Set<ReplicaKey> stalled,
        Map<String, ModelDemand> demand,
        boolean trafficSeen,
        FormerGroups formerGroups,
        boolean firstStart) {
    /** Copies the collections. */
    public FleetView {
        entries = List.copyOf(entries);
        stalled = Set.copyOf(stalled);
        demand = Map.copyOf(demand);
    }
}
