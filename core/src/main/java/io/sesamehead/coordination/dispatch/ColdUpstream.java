package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.catalog.ServiceProfile;
import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.StoreRevision;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** What this daemon knows of one incarnation of an upstream that may be cold, and what it has sent there lately. */
final class ColdUpstream {
    /** Longest time for which a statement is believed, in milliseconds. */
    private static final long MAX_STATED_MILLIS = 3_600_000;

    private static final long NOT_CACHED = -1;

    private final ServiceName service;
    private final FailureDomain failureDomain;
    private final long firstSeenAtMillis;
    private final boolean seenDuringTraffic;
    private StoreRevision revision = StoreRevision.NONE;
    private boolean stated;
    private long statedUntilMillis;
    private final Deque<Long> sentAtMillis = new ArrayDeque<>();
    private long rankVersion = NOT_CACHED;
    private int rank;
    private long lastListedAtMillis;
    private boolean coldInLog;

    /** Why an upstream is treated as cold. */
    enum Source {
        /** The upstream stated it. */
        STATED,
        /** It was first seen during traffic and states nothing. */
        UNKNOWN,
        /** The evacuation of its failure domain has ended. */
        EVACUATION_ENDED
    }

    /** The time until which an upstream is treated as cold, and why. */
    record Cold(long untilMillis, Source source) {}

    ColdUpstream(UpstreamEntry entry, boolean seenDuringTraffic, long nowMillis) {
        this.service = entry.service();
        this.failureDomain = entry.failureDomain();
        this.firstSeenAtMillis = nowMillis;
        this.lastListedAtMillis = nowMillis;
        this.seenDuringTraffic = seenDuringTraffic;
    }

    ServiceName service() {
        return service;
    }

    FailureDomain failureDomain() {
        return failureDomain;
    }

    /** Applies what an entry states, unless this or a later entry has been applied already. */
    void observe(UpstreamEntry entry, StoreRevision entryRevision, long nowMillis) {
        if (entryRevision.compareTo(revision) <= 0) {
            return;
        }
        boolean sameHistory = revision.equals(StoreRevision.NONE) || revision.era() == entryRevision.era();
        revision = entryRevision;
        if (entry.coldMillis().isEmpty()) {
            return;
        }
        long millis = Math.clamp(entry.coldMillis().getAsLong(), 0, MAX_STATED_MILLIS);
        // The copy from which a store was restored may contain a statement from before the upstream turned cold.
        statedUntilMillis =
                stated && !sameHistory ? Math.max(statedUntilMillis, nowMillis + millis) : nowMillis + millis;
        stated = true;
    }

    /** Returns until when the upstream is cold, apart from an evacuation; in the past if it is warm. */
    Cold cold(ServiceProfile profile) {
        if (stated) {
            return new Cold(statedUntilMillis, Source.STATED);
        }
        long untilMillis = firstSeenAtMillis + (seenDuringTraffic ? profile.coldStartMillis() : 0);
        return new Cold(untilMillis, Source.UNKNOWN);
    }

    /** Returns this daemon's rank, which is computed once for each list of daemons. */
    int rank(ColdPermits permits, UpstreamIncarnation incarnation) {
        if (rankVersion != permits.version()) {
            rankVersion = permits.version();
            rank = permits.rank(incarnation);
        }
        return rank;
    }

    /** Records a request. Only the latest ones matter, as many as any daemon may have permits. */
    void recordSent(int mostPermits, long nowMillis) {
        sentAtMillis.addLast(nowMillis);
        if (sentAtMillis.size() > Math.max(1, mostPermits)) {
            sentAtMillis.removeFirst();
        }
    }

    /** Returns the time until fewer than a number of requests are in the window, which is at least 1. */
    long permitWaitMillis(int permits, long windowMillis, long nowMillis) {
        if (sentAtMillis.size() < permits) {
            return 0;
        }
        Iterator<Long> latestFirst = sentAtMillis.descendingIterator();
        for (int i = 1; i < permits; i++) {
            latestFirst.next();
        }
        return Math.max(0, latestFirst.next() + windowMillis - nowMillis);
    }

    /** Drops requests that have left the window. */
    void forgetSentBefore(long millis) {
        while (!sentAtMillis.isEmpty() && sentAtMillis.peekFirst() < millis) {
            sentAtMillis.removeFirst();
        }
    }

    void recordListed(long nowMillis) {
        lastListedAtMillis = nowMillis;
    }

    long lastListedAtMillis() {
        return lastListedAtMillis;
    }

    /** Sets whether the log shows the upstream as cold. Returns whether this is a change. */
    boolean changeLogged(boolean cold) {
        boolean changed = coldInLog != cold;
        coldInLog = cold;
        return changed;
    }
}
