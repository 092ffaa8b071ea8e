package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The newest known assignment of each failure domain. Lock: one {@link ReentrantLock}, place 2 in the lock order of the
 * tables.
 */
public final class AssignmentTable {
    private static final Comparator<GroupAssignment> RECENCY =
            Comparator.comparingLong(GroupAssignment::controllerEpoch).thenComparingLong(GroupAssignment::version);

    private final ReentrantLock lock = new ReentrantLock();
    private final TreeMap<FailureDomain, GroupAssignment> assignments = new TreeMap<>();

    /** Creates an empty table. */
    public AssignmentTable() {}

    /** What became of an offered assignment. */
    public enum OfferResult {
        /** It is newer and was taken over. */
        ADOPTED,
        /** It is the one that the table holds. */
        SAME,
        /** It is older than the one that the table holds. */
        OLDER
    }

    /**
     * Offers an assignment; the highest pair of controller epoch and version wins.
     *
     * @param offered the assignment
     * @return what became of it
     */
    public OfferResult offer(GroupAssignment offered) {
        lock.lock();
        try {
            GroupAssignment current = assignments.get(offered.failureDomain());
            int order = current == null ? 1 : RECENCY.compare(offered, current);
            if (order > 0) {
                assignments.put(offered.failureDomain(), offered);
                return OfferResult.ADOPTED;
            }
            return order == 0 ? OfferResult.SAME : OfferResult.OLDER;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the assignment of a failure domain.
     *
     * @param failureDomain the failure domain
     * @return the assignment, or empty when none is known
     */
    public Optional<GroupAssignment> assignment(FailureDomain failureDomain) {
        lock.lock();
        try {
            return Optional.ofNullable(assignments.get(failureDomain));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns all known assignments.
     *
     * @return one assignment for each known failure domain, in the order of their names
     */
    public ImmutableList<GroupAssignment> all() {
        lock.lock();
        try {
            return ImmutableList.copyOf(assignments.values());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the groups of a service in a failure domain, whatever their state.
     *
     * @param failureDomain the failure domain
     * @param service the service
     * @return the groups
     */
    public ImmutableList<Group> groups(FailureDomain failureDomain, ServiceName service) {
        return assignment(failureDomain).map(GroupAssignment::groups).orElse(ImmutableList.of()).stream()
                .filter(group -> group.service().equals(service))
                .collect(ImmutableList.toImmutableList());
    }
}
