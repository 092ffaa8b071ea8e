package io.sesamehead.coordination.replica;

import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Registry entry of one upstream.
 *
 * @param id id of the upstream
 * @param startedAtEpochMillis start time, in milliseconds since the epoch; distinguishes two incarnations with one id
 * @param writes number of entries that it has written since its start, this one included
 * @param service the service it runs
 * @param endpoint the address it listens on
 * @param failureDomain its failure domain
 * @param slots maximum number of concurrent calls, at least 1
 * @param leaving whether it has announced that it is shutting down
 * @param fabricDomain its fabric domain, empty for a plain service
 * @param staged models whose weights are on its host
 * @param loaded models that it has loaded
 * @param membership its membership in a group, if any
 * @param coldMillis time for which it stays cold, in milliseconds, as stated when the entry was read; empty if not stated
 */
public record UpstreamEntry(
        InstanceId id,
        long startedAtEpochMillis,
        long writes,
        ServiceName service,
        Endpoint endpoint,
        FailureDomain failureDomain,
        int slots,
        boolean leaving,
        String fabricDomain,
        List<String> staged,
        List<String> loaded,
        Optional<Membership> membership,
        OptionalLong coldMillis) {
    /** Copies the lists and rejects numbers out of range. */
    public UpstreamEntry {
        if (startedAtEpochMillis < 0 || writes < 0 || slots < 1) {
            throw new IllegalArgumentException("expected a start time, a number of orders and at least one slot");
        }
        staged = List.copyOf(staged);
        loaded = List.copyOf(loaded);
    }

    /**
     * Creates an entry that does not state how long the upstream stays cold.
     *
     * @param id id of the upstream
     * @param startedAtEpochMillis start time, in milliseconds since the epoch
     * @param writes number of entries that it has written since its start, this one included
     * @param service the service it runs
     * @param endpoint the address it listens on
     * @param failureDomain its failure domain
     * @param slots maximum number of concurrent calls, at least 1
     * @param leaving whether it has announced that it is shutting down
     * @param fabricDomain its fabric domain, empty for a plain service
     * @param staged models whose weights are on its host
     * @param loaded models that it has loaded
     * @param membership its membership in a group, if any
     */
    public UpstreamEntry(
            InstanceId id,
            long startedAtEpochMillis,
            long writes,
            ServiceName service,
            Endpoint endpoint,
            FailureDomain failureDomain,
            int slots,
            boolean leaving,
            String fabricDomain,
            List<String> staged,
            List<String> loaded,
            Optional<Membership> membership) {
        this(
                id,
                startedAtEpochMillis,
                writes,
                service,
                endpoint,
                failureDomain,
                slots,
                leaving,
                fabricDomain,
                staged,
                loaded,
                membership,
                OptionalLong.empty());
    }

    /**
     * Returns which start of the upstream this entry describes.
     *
     * @return the incarnation
     */
    public LeavingUpstreams.UpstreamIncarnation incarnation() {
        return new LeavingUpstreams.UpstreamIncarnation(id, startedAtEpochMillis);
    }

    /**
     * Returns whether this entry is older than another entry of the same upstream. Writes to the registry can be
     * reordered, so the entry read last is not necessarily the newest.
     *
     * @param other another entry of this upstream
     * @return true if the other entry is certainly newer
     */
    public boolean precedes(UpstreamEntry other) {
        if (startedAtEpochMillis != other.startedAtEpochMillis) {
            return startedAtEpochMillis < other.startedAtEpochMillis;
        }
        if (writes != other.writes) {
            return writes < other.writes;
        }
        // An upstream that has announced its shutdown does not serve again before it restarts.
        return (!leaving && other.leaving) || earlierState(other);
    }

    /**
     * Returns a copy of this entry that is marked as leaving.
     *
     * @return the copy
     */
    public UpstreamEntry asLeaving() {
        return new UpstreamEntry(
                id,
                startedAtEpochMillis,
                writes,
                service,
                endpoint,
                failureDomain,
                slots,
                true,
                fabricDomain,
                staged,
                loaded,
                membership,
                coldMillis);
    }

    /** Compares the states within one group: without a new order, the state only advances. */
    private boolean earlierState(UpstreamEntry other) {
        boolean sameGroup = membership.isPresent()
                && membership.map(Membership::replica).equals(other.membership.map(Membership::replica));
        return sameGroup
                && membership.get().state().compareTo(other.membership.get().state()) < 0;
    }
}
