package io.sesamehead.state;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/**
 * The desired state of the fleet, complete and validated.
 *
 * @param note comment of the operator
 * @param services desired services by name
 * @param shares relative share of each named client account; other accounts have {@link #DEFAULT_SHARE}
 * @param loadsPerMinute limit of the weight store, in model loads per minute and failure domain
 * @param policy settings of the controller's policies
 * @param withdrawn services that this note removes
 */
public record ReleaseNote(
        String note,
        ImmutableMap<ServiceName, ServiceSpec> services,
        ImmutableMap<ClientAccount, Integer> shares,
        int loadsPerMinute,
        PolicySettings policy,
        ImmutableSet<ServiceName> withdrawn) {
    /** Share of a client account that the note does not name. */
    public static final int DEFAULT_SHARE = 1;

    /**
     * Returns the relative share of a client account.
     *
     * @param account the client account
     * @return the share, at least 1
     */
    public int share(ClientAccount account) {
        return shares.getOrDefault(account, DEFAULT_SHARE);
    }

    /**
     * Settings of the controller's policies.
     *
     * @param downtimeWeight weight of group downtime against stranded accelerators, 0 to 1
     * @param repair name of the repair policy, {@code fixed-timeout} or {@code reload-proportional}
     * @param sparesPerFabricDomain number of idle VMs that placement keeps free in each fabric domain
     */
    public record PolicySettings(double downtimeWeight, String repair, int sparesPerFabricDomain) {}
}
