package io.sesamehead.cli.load;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicLongArray;

/** Selects the daemon of each attempt round-robin and skips daemons that failed recently. */
final class DaemonSelector {
    /** Time for which a daemon is skipped after a failure, as with the health check of a load balancer. */
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
     * Selects a daemon, or the next one in turn if all daemons failed recently.
     *
     * @param attemptNumber number of the attempt; consecutive numbers select different daemons
     * @param nowNanos monotonic time in nanoseconds
     * @return the index of the daemon
     */
    int select(long attemptNumber, long nowNanos) {
        int first = (int) Math.floorMod(attemptNumber, (long) daemons.size());
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
