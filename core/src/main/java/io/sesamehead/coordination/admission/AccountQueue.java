package io.sesamehead.coordination.admission;

import io.sesamehead.state.RequestId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;

/** Waiting calls and decaying use of one client account. Guarded by the lock of {@link AdmissionTable}. */
final class AccountQueue {
    /**
     * Time in which an account's use halves, in milliseconds. A few calls long, so that a burst is balanced by the
     * following calls and is forgotten soon after.
     */
    private static final long USE_HALF_LIFE_MILLIS = 30_000;

    private final List<LinkedHashMap<RequestId, AdmissionCall>> byPriority = new ArrayList<>();
    private final long[] costs = new long[AdmissionCall.HIGHEST_PRIORITY + 1];
    private int size;
    private double use;
    private long updatedMillis;

    AccountQueue(long nowMillis) {
        this.updatedMillis = nowMillis;
        for (int priority = AdmissionCall.LOWEST_PRIORITY; priority <= AdmissionCall.HIGHEST_PRIORITY; priority++) {
            byPriority.add(new LinkedHashMap<>());
        }
    }

    double usage(long nowMillis) {
        long elapsed = nowMillis - updatedMillis;
        if (elapsed > 0) {
            use *= Math.pow(0.5, (double) elapsed / USE_HALF_LIFE_MILLIS);
            updatedMillis = nowMillis;
        }
        return use;
    }

    void charge(long tokenCost, long nowMillis) {
        use = usage(nowMillis) + tokenCost;
    }

    void raiseUsage(double least, long nowMillis) {
        use = Math.max(usage(nowMillis), least);
    }

    int size() {
        return size;
    }

    void add(AdmissionCall call) {
        byPriority.get(call.priority()).put(call.request(), call);
        costs[call.priority()] += call.tokenCost();
        size++;
    }

    void remove(AdmissionCall call) {
        if (byPriority.get(call.priority()).remove(call.request()) != null) {
            costs[call.priority()] -= call.tokenCost();
            size--;
        }
    }

    /** The call that runs next: the earliest of the highest priority. */
    Optional<AdmissionCall> nextToRun() {
        for (int priority = AdmissionCall.HIGHEST_PRIORITY; priority >= AdmissionCall.LOWEST_PRIORITY; priority--) {
            if (!byPriority.get(priority).isEmpty()) {
                return Optional.of(byPriority.get(priority).firstEntry().getValue());
            }
        }
        return Optional.empty();
    }

    /** The call that loses least by being displaced: the latest of the lowest priority. */
    Optional<AdmissionCall> firstToDisplace() {
        return byPriority.stream()
                .filter(calls -> !calls.isEmpty())
                .findFirst()
                .map(calls -> calls.lastEntry().getValue());
    }

    /** Waiting calls that run before a new call of a priority. */
    int callsAhead(int priority) {
        return byPriority.subList(priority, byPriority.size()).stream()
                .mapToInt(LinkedHashMap::size)
                .sum();
    }

    /** Token cost of the waiting calls that run before a new call of a priority. */
    long costAhead(int priority) {
        long cost = 0;
        for (int level = priority; level <= AdmissionCall.HIGHEST_PRIORITY; level++) {
            cost += costs[level];
        }
        return cost;
    }
}
