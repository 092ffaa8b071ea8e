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
 */
public record FleetView(
        EngineProfile engine,
        List<UpstreamEntry> entries,
        Set<ReplicaKey> stalled,
        Map<String, ModelDemand> demand,
        boolean trafficSeen) {
    /** Copies the collections. */
    public FleetView {
        entries = List.copyOf(entries);
        stalled = Set.copyOf(stalled);
        demand = Map.copyOf(demand);
    }
}
