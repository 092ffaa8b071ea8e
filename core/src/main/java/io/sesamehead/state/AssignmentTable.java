package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The newest known assignment of each failure domain. Guarded by a {@link ReentrantLock}, number 2 in the lock order of
 * the tables.
 */
public final class AssignmentTable {
    private static final Comparator<GroupAssignment> RECENCY =
            Comparator.comparingLong(GroupAssignment::controllerEpoch).thenComparingLong(GroupAssignment::version);

    private final ReentrantLock lock = new ReentrantLock();
    private final TreeMap<FailureDomain, GroupAssignment> assignments = new TreeMap<>();

    /** Creates an empty table. */
    public AssignmentTable() {}

    /** Result of offering an assignment. */
    public enum OfferResult {
        /** The offered assignment is newer and replaced the current one. */
        ADOPTED,
        /** The offered assignment is as old as the current one. */
        SAME,
        /** The offered assignment is older than the current one. */
        OLDER
    }

    /**
     * Offers an assignment; the highest pair of controller epoch and version wins.
     *
     * @param offered the assignment
     * @return the result of the offer
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
     * @return the assignment, or empty if none is known
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
     * @return one assignment per failure domain, ordered by name
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
     * Returns the groups of a service in a failure domain, in any state.
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
