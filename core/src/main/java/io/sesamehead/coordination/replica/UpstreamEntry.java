package io.sesamehead.coordination.replica;

import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Optional;

/**
 * One upstream as the registry lists it.
 *
 * @param id its name
 * @param startedAtEpochMillis time of its start, which tells two lives under one name apart
 * @param ordersBegun orders that it has begun to carry out since its start
 * @param service the service it runs
 * @param endpoint where it listens
 * @param failureDomain its failure domain
 * @param slots calls that it runs at once
 * @param leaving whether it has announced its end
 * @param fabricDomain its fabric domain, empty for a plain service
 * @param staged models on its host
 * @param loaded models that it holds
 * @param membership its group, if any
 */
public record UpstreamEntry(
        InstanceId id,
        long startedAtEpochMillis,
        long ordersBegun,
        ServiceName service,
        Endpoint endpoint,
        FailureDomain failureDomain,
        int slots,
        boolean leaving,
        String fabricDomain,
        List<String> staged,
        List<String> loaded,
        Optional<Membership> membership) {
    /** Copies the lists. */
    public UpstreamEntry {
        staged = List.copyOf(staged);
        loaded = List.copyOf(loaded);
    }

    /**
     * Tells whether this entry describes an earlier moment of the same upstream than another one. Writes to the registry
     * can overtake one another, so that the entry read last need not be the latest.
     *
     * @param other another entry of this upstream
     * @return true if the other entry is certainly later
     */
    public boolean precedes(UpstreamEntry other) {
        if (startedAtEpochMillis != other.startedAtEpochMillis) {
            return startedAtEpochMillis < other.startedAtEpochMillis;
        }
        if (ordersBegun != other.ordersBegun) {
            return ordersBegun < other.ordersBegun;
        }
        // An upstream that has announced its end does not return to service in the same life.
        return (!leaving && other.leaving) || earlierState(other);
    }

    /**
     * Returns the entry of an upstream that has announced its end.
     *
     * @return the same, leaving
     */
    public UpstreamEntry asLeaving() {
        return new UpstreamEntry(
                id,
                startedAtEpochMillis,
                ordersBegun,
                service,
                endpoint,
                failureDomain,
                slots,
                true,
                fabricDomain,
                staged,
                loaded,
                membership);
    }

    /** Without an order, the state in a group only advances. */
    private boolean earlierState(UpstreamEntry other) {
        boolean sameGroup = membership.isPresent()
                && membership.map(Membership::replica).equals(other.membership.map(Membership::replica));
        return sameGroup
                && membership.get().state().compareTo(other.membership.get().state()) < 0;
    }
}
