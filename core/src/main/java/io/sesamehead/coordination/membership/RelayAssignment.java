package io.sesamehead.coordination.membership;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import java.util.Collection;

/** Chooses the daemons that hold a failure domain's watches and its links to other failure domains. */
public final class RelayAssignment {
    /** Two relays, so that updates continue while the death of one is being detected. */
    public static final int RELAYS_PER_FAILURE_DOMAIN = 2;

    private RelayAssignment() {}

    /**
     * Returns the relays of a failure domain.
     *
     * @param failureDomain the failure domain
     * @param live its live daemons
     * @return up to two daemons
     */
    public static ImmutableList<DaemonId> relays(FailureDomain failureDomain, Collection<DaemonId> live) {
        return RendezvousHash.top("relay:" + failureDomain.value(), live, RELAYS_PER_FAILURE_DOMAIN);
    }
}
