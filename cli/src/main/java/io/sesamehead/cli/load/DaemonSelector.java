package io.sesamehead.cli.load;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicLongArray;

/** Chooses the daemon of an attempt in turn and passes over those that failed a moment ago. */
final class DaemonSelector {
    /** Time that a daemon is passed over after a failure, as a load balancer's health check would do. */
    private static final long FAILURE_EXCLUSION_NANOS = 2_000_000_000L;

    private final ImmutableList<String> daemons;
    private final AtomicLongArray failedAt;
    private final AtomicLongArray failed;

    DaemonSelector(ImmutableList<String> daemons) {
        this.daemons = daemons;
        this.failedAt = new AtomicLongArray(daemons.size());
        this.failed = new AtomicLongArray(daemons.size());
    }

    /**
     * Chooses a daemon.
     *
     * @param turn number of the attempt; consecutive numbers give different daemons
     * @param nowNanos monotonic time
     * @return index of the daemon
     */
    int select(long turn, long nowNanos) {
        int first = (int) Math.floorMod(turn, (long) daemons.size());
        for (int step = 0; step < daemons.size(); step++) {
            int index = (first + step) % daemons.size();
            if (failed.get(index) == 0 || nowNanos - failedAt.get(index) > FAILURE_EXCLUSION_NANOS) {
                return index;
            }
        }
        return first;
    }

    String address(int index) {
        return daemons.get(index);
    }

    void recordFailure(int index, long nowNanos) {
        failedAt.set(index, nowNanos);
        failed.set(index, 1);
    }

    void recordAnswer(int index) {
        failed.set(index, 0);
    }
}
