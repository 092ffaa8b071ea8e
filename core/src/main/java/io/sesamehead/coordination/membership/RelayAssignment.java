package io.sesamehead.coordination.membership;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import java.util.Collection;

/** Assigns a failure domain's watches and its links to other failure domains to relay daemons. */
public final class RelayAssignment {
    /** Number of relays per failure domain; with two, updates continue while the failure of one is being detected. */
    public static final int RELAYS_PER_FAILURE_DOMAIN = 2;

    private RelayAssignment() {}

    /**
     * Returns the relays of a failure domain.
     *
     * @param failureDomain the failure domain
     * @param live its live daemons
     * @return the relays, at most {@link #RELAYS_PER_FAILURE_DOMAIN}
     */
    public static ImmutableList<DaemonId> relays(FailureDomain failureDomain, Collection<DaemonId> live) {
        return RendezvousHash.top("relay:" + failureDomain.value(), live, RELAYS_PER_FAILURE_DOMAIN);
    }
}
