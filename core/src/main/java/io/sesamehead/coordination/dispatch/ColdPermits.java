package io.sesamehead.coordination.dispatch;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import io.sesamehead.state.DaemonId;
import java.util.Collection;
import java.util.Set;

/**
 * Divides the requests that a cold upstream may get among the listed daemons, without messages between them.
 *
 * <p>A daemon with a list of all daemons that may send cannot exceed its part: a longer list never gives a daemon a lower
 * rank or more permits. Therefore a daemon sends only with a list that was read recently, and a new daemon sends only once
 * it has been listed for longer than the age of any list that the others use. Daemons that start together and read lists
 * with only some of them thus send nothing on the strength of these lists.
 */
final class ColdPermits {
    /** Maximum age of a list, in milliseconds: the list interval of the daemons of 15 s, with failed requests. */
    static final long MAX_LIST_AGE_MILLIS = 20_000;
    /** Time after which a new daemon is in all lists in use, in milliseconds: their age, and a store's stale answer. */
    static final long SETTLE_MILLIS = MAX_LIST_AGE_MILLIS + 5_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final DaemonId own;
    private final long windowMillis;
    private ImmutableSet<DaemonId> daemons = ImmutableSet.of();
    /** Increases with every list that differs from the one before. */
    private int version;

    private boolean listed;
    private long requestedAtMillis;
    /** Time from which the other daemons know of this one, {@link #NEVER} while it isn't listed. */
    private long permittedFromMillis = NEVER;

    /**
     * Creates the permits of a daemon that has read no list.
     *
     * @param own this daemon
     * @param windowMillis time for which a request takes up a permit, in milliseconds
     */
    ColdPermits(DaemonId own, long windowMillis) {
        this.own = own;
        this.windowMillis = windowMillis;
    }

    /** Records a list that was read from the store. It contains this daemon only if the store lists it. */
    void recordList(Set<DaemonId> list, long listRequestedAtMillis, long nowMillis) {
        if (!list.contains(own)) {
            permittedFromMillis = NEVER;
        } else if (permittedFromMillis == NEVER) {
            // A process that finds itself listed at its start is not new to the others. Its predecessor may have just
            // sent.
            permittedFromMillis = nowMillis + (listed ? SETTLE_MILLIS : windowMillis);
        }
        listed = true;
        requestedAtMillis = listRequestedAtMillis;
        if (!daemons.equals(list)) {
            daemons = ImmutableSet.copyOf(list);
            version++;
        }
    }

    /** Returns whether the list may be used now. */
    boolean isUsable(long nowMillis) {
        return nowMillis >= permittedFromMillis && nowMillis - requestedAtMillis <= MAX_LIST_AGE_MILLIS;
    }

    int version() {
        return version;
    }

    /** Returns this daemon's rank for an upstream: the number of listed daemons that precede it. */
    int rank(UpstreamIncarnation upstream) {
        return rank(own, daemons, upstream);
    }

    /** Returns the permits of the daemon with a rank among the listed ones. */
    int permits(int rank, int total) {
        return permits(rank, daemons.size(), total);
    }

    private static int permits(int rank, int daemons, int total) {
        return rank >= total ? 0 : 1 + (total - 1 - rank) / Math.max(1, daemons);
    }

    private static int rank(DaemonId own, Collection<DaemonId> daemons, UpstreamIncarnation upstream) {
        long weight = weight(own, upstream);
        int rank = 0;
        for (DaemonId daemon : daemons) {
            long other = weight(daemon, upstream);
            if (other < weight || (other == weight && daemon.compareTo(own) < 0)) {
                rank++;
            }
        }
        return rank;
    }

    private static long weight(DaemonId daemon, UpstreamIncarnation upstream) {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(daemon.value())
                .putUnencodedChars(upstream.upstream().value())
                .putLong(upstream.startedAtEpochMillis())
                .hash()
                .asLong();
    }
}
