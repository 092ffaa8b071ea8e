package io.sesamehead.coordination.catalog;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.Region;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The owner of one or more API keys.
 *
 * @param account the client account
 * @param priority priority of its calls, 0 is the most urgent; empty to use the priority of the route
 * @param allowedRegions regions whose upstreams may run its calls; empty if any may
 */
public record Tenant(ClientAccount account, OptionalInt priority, Set<Region> allowedRegions) {
    /** Copies the regions. */
    public Tenant {
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Creates a tenant whose calls may run in any region.
     *
     * @param account the client account
     * @param priority priority of its calls, 0 is the most urgent; empty to use the priority of the route
     */
    public Tenant(ClientAccount account, OptionalInt priority) {
        this(account, priority, Set.of());
    }
}
