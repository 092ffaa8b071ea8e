package io.sesamehead.coordination.admission;

import io.sesamehead.state.RequestId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;

/** Waiting calls and decaying token usage of one client account. Guarded by the lock of {@link AdmissionTable}. */
final class AccountQueue {
    /**
     * Half-life of an account's usage, in milliseconds. Covers a few calls, so that the calls after a burst
     * compensate for it and the burst stops counting soon afterwards.
     */
    private static final long USAGE_HALF_LIFE_MILLIS = 30_000;

    private final List<LinkedHashMap<RequestId, AdmissionCall>> byPriority = new ArrayList<>();
    private final long[] costs = new long[AdmissionCall.HIGHEST_PRIORITY + 1];
    private int size;
    private double usage;
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
            usage *= Math.pow(0.5, (double) elapsed / USAGE_HALF_LIFE_MILLIS);
            updatedMillis = nowMillis;
        }
        return usage;
    }

    void charge(long tokenCost, long nowMillis) {
        usage = usage(nowMillis) + tokenCost;
    }

    void raiseUsage(double minimum, long nowMillis) {
        usage = Math.max(usage(nowMillis), minimum);
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

    /** Returns the call that runs next: the earliest one of the highest priority. */
    Optional<AdmissionCall> nextToRun() {
        for (int priority = AdmissionCall.HIGHEST_PRIORITY; priority >= AdmissionCall.LOWEST_PRIORITY; priority--) {
            if (!byPriority.get(priority).isEmpty()) {
                return Optional.of(byPriority.get(priority).firstEntry().getValue());
            }
        }
        return Optional.empty();
    }

    /** Returns the call to displace first: the latest one of the lowest priority, which loses least. */
    Optional<AdmissionCall> firstToDisplace() {
        return byPriority.stream()
                .filter(calls -> !calls.isEmpty())
                .findFirst()
                .map(calls -> calls.lastEntry().getValue());
    }

    /** Returns the number of waiting calls that run before a new call of a priority. */
    int callsAhead(int priority) {
        return byPriority.subList(priority, byPriority.size()).stream()
                .mapToInt(LinkedHashMap::size)
                .sum();
    }

    /** Returns the token cost of the waiting calls that run before a new call of a priority. */
    long costAhead(int priority) {
        long cost = 0;
        for (int level = priority; level <= AdmissionCall.HIGHEST_PRIORITY; level++) {
            cost += costs[level];
        }
        return cost;
    }
}
