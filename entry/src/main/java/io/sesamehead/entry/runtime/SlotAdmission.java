package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.admission.RankedServices;
import io.sesamehead.coordination.admission.SlotCall;
import io.sesamehead.coordination.admission.SlotDecision;
import io.sesamehead.coordination.admission.SlotShares;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.catalog.RouteTable;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Divides scarce slots where the settings ask for it and the active configuration has calls of different ranks. Confined to
 * the event loop.
 */
final class SlotAdmission {
    /** Time since the last call for a pool after which its shares are no longer computed, in milliseconds. */
    private static final long UNUSED_MILLIS = 10_000;

    private record Pool(ServiceName service, Optional<String> model, long usedAtMillis) {}

    private final ActiveConfig activeConfig;
    private final Fleet fleet;
    private final SlotShares shares;
    private final boolean enabled;
    private final Map<Integer, Pool> pools = new HashMap<>();
    private Optional<RouteTable> examined = Optional.empty();
    private Set<ServiceName> ranked = Set.of();

    SlotAdmission(ActiveConfig activeConfig, Fleet fleet, SlotShares shares, boolean enabled, DaemonMetrics metrics) {
        this.activeConfig = activeConfig;
        this.fleet = fleet;
        this.shares = shares;
        this.enabled = enabled;
        metrics.gauge("pool_room_per_second", () -> Math.round(shares.roomPerSecond()));
    }

    /** Returns whether the slots of a service are divided by rank and account. */
    boolean isDivided(ServiceName service) {
        if (!enabled) {
            return false;
        }
        Optional<RouteTable> table = activeConfig.table();
        boolean same = table.isPresent() == examined.isPresent()
                && table.stream().allMatch(present -> present == examined.orElseThrow());
        if (!same) {
            examined = table;
            ranked = table.map(present -> RankedServices.of(present.config())).orElse(Set.of());
        }
        return ranked.contains(service);
    }

    /** Counts a call and decides whether it may be dispatched. */
    SlotDecision decide(SlotCall call, ServiceName service, Optional<String> model, long nowMillis) {
        pools.put(call.pool(), new Pool(service, model, nowMillis));
        return shares.decide(call, fleet.targets(service, model), nowMillis);
    }

    /** Computes the shares of the pools that were used lately anew. */
    void refresh(long nowMillis) {
        pools.values().removeIf(pool -> nowMillis - pool.usedAtMillis() > UNUSED_MILLIS);
        pools.forEach((hash, pool) -> shares.refresh(hash, fleet.targets(pool.service(), pool.model()), nowMillis));
    }
}
