package io.sesamehead.coordination.dispatch;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import io.sesamehead.state.DaemonId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Connections to targets that were refused, at this daemon and as reported by its peers. A refused connection shows that
 * no process listens at the target's address, unless the network of the daemon refuses it, so that several daemons must
 * agree and each of them must reach other targets. Not thread-safe: confined to the event loop.
 */
public final class RefusedConnections {
    /** Age up to which a refusal counts, in milliseconds: the time after which a daemon connects again, and a margin. */
    private static final long MAX_AGE_MILLIS = 1_200;
    /** Number of daemons whose connections must have been refused, unless a daemon knows of no other. */
    private static final int MIN_DAEMONS = 2;
    /** Maximum number of daemons kept and reported for a target: one more than are needed. */
    private static final int MAX_DAEMONS = MIN_DAEMONS + 1;
    /** Maximum number of targets kept and reported, which bounds the size of a report. */
    private static final int MAX_TARGETS = 32;

    private final long self;
    private final Map<TargetKey, Long> own = new HashMap<>();
    private final Map<TargetKey, Map<Long, Long>> peers = new HashMap<>();
    private final Map<TargetKey, Long> ownProgress = new HashMap<>();
    private final Map<TargetKey, Long> peerProgress = new HashMap<>();

    /**
     * The daemons whose connections to a target were refused.
     *
     * @param target the target
     * @param ageMillisByDaemon time since the last refusal by hash of the daemon's id, in milliseconds
     */
    public record Refusal(TargetKey target, ImmutableMap<Long, Long> ageMillisByDaemon) {}

    /**
     * Creates an empty table.
     *
     * @param self this daemon
     */
    public RefusedConnections(DaemonId self) {
        this.self = hash(self);
    }

    /**
     * Returns the number by which a daemon is identified in reports.
     *
     * @param daemon the daemon
     * @return the hash of its id
     */
    static long hash(DaemonId daemon) {
        return Hashing.sipHash24().hashUnencodedChars(daemon.value()).asLong();
    }

    /**
     * Records that a connection from this daemon was refused. A connection that timed out is not refused.
     *
     * @param target the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordRefused(TargetKey target, long nowMillis) {
        expire(nowMillis);
        own.put(target, nowMillis);
        removeOldest(own);
    }

    /**
     * Records that a target has sent something to this daemon.
     *
     * @param target the target
     * @param atMillis monotonic time of the progress, in milliseconds
     */
    public void recordProgress(TargetKey target, long atMillis) {
        ownProgress.merge(target, atMillis, Math::max);
    }

    /**
     * Records the progress of all targets that this daemon reports.
     *
     * @param table calls of this daemon
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordOwnProgress(TargetTable table, long nowMillis) {
        table.localReports(nowMillis).forEach(row -> recordProgress(row.key(), nowMillis - row.silentMillis()));
    }

    /**
     * Records that a target has sent something to another daemon.
     *
     * @param target the target
     * @param atMillis monotonic time of the progress, in milliseconds
     */
    public void recordPeerProgress(TargetKey target, long atMillis) {
        peerProgress.merge(target, atMillis, Math::max);
    }

    /**
     * Merges a report. The same report may be merged any number of times and by any way.
     *
     * @param report the report, from another daemon
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void merge(Refusal report, long nowMillis) {
        expire(nowMillis);
        Map<Long, Long> daemons = new HashMap<>(peers.getOrDefault(report.target(), Map.of()));
        report.ageMillisByDaemon().forEach((daemon, ageMillis) -> {
            if (daemon != self && ageMillis >= 0 && ageMillis <= MAX_AGE_MILLIS) {
                daemons.merge(daemon, nowMillis - ageMillis, Math::max);
            }
        });
        if (daemons.isEmpty() || (peers.size() >= MAX_TARGETS && !peers.containsKey(report.target()))) {
            return;
        }
        while (daemons.size() > MAX_DAEMONS) {
            daemons.remove(oldest(daemons));
        }
        peers.put(report.target(), daemons);
    }

    /**
     * Returns what to report to other daemons.
     *
     * @param withPeers whether to include what other daemons have reported, as a relay does
     * @param nowMillis current monotonic time, in milliseconds
     * @return one row per target
     */
    public List<Refusal> reports(boolean withPeers, long nowMillis) {
        expire(nowMillis);
        Set<TargetKey> targets = new HashSet<>(own.keySet());
        if (withPeers) {
            targets.addAll(peers.keySet());
        }
        List<Refusal> rows = new ArrayList<>();
        for (TargetKey target : targets) {
            Map<Long, Long> daemons = new HashMap<>(withPeers ? peers.getOrDefault(target, Map.of()) : Map.of());
            addOwn(target, daemons);
            if (!daemons.isEmpty() && rows.size() < MAX_TARGETS) {
                daemons.replaceAll((daemon, atMillis) -> nowMillis - atMillis);
                rows.add(new Refusal(target, ImmutableMap.copyOf(daemons)));
            }
        }
        return rows;
    }

    /**
     * Returns whether refused connections show that a target is lost.
     *
     * @param target the target
     * @param alone whether this daemon knows of no other
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if enough daemons were refused lately and no daemon has seen progress since
     */
    public boolean isLost(TargetKey target, boolean alone, long nowMillis) {
        expire(nowMillis);
        Map<Long, Long> daemons = new HashMap<>(peers.getOrDefault(target, Map.of()));
        addOwn(target, daemons);
        long progressAtMillis = Math.max(
                ownProgress.getOrDefault(target, Long.MIN_VALUE), peerProgress.getOrDefault(target, Long.MIN_VALUE));
        long agreeing = daemons.values().stream()
                .filter(atMillis -> atMillis > progressAtMillis)
                .count();
        return agreeing >= (alone ? 1 : MIN_DAEMONS);
    }

    private void addOwn(TargetKey target, Map<Long, Long> daemons) {
        Long atMillis = own.get(target);
        if (atMillis != null && reachesOthers(atMillis)) {
            daemons.put(self, atMillis);
        }
    }

    /** Returns whether this daemon has since heard from at least as many targets as refuse its connections. */
    private boolean reachesOthers(long sinceMillis) {
        long reached = ownProgress.entrySet().stream()
                .filter(entry -> entry.getValue() > sinceMillis && !own.containsKey(entry.getKey()))
                .count();
        return reached >= own.size();
    }

    private void expire(long nowMillis) {
        long oldestMillis = nowMillis - MAX_AGE_MILLIS;
        own.values().removeIf(atMillis -> atMillis < oldestMillis);
        ownProgress.values().removeIf(atMillis -> atMillis < oldestMillis);
        peerProgress.values().removeIf(atMillis -> atMillis < oldestMillis);
        peers.values().forEach(daemons -> daemons.values().removeIf(atMillis -> atMillis < oldestMillis));
        peers.values().removeIf(Map::isEmpty);
    }

    private static void removeOldest(Map<TargetKey, Long> refusals) {
        if (refusals.size() > MAX_TARGETS) {
            refusals.remove(oldest(refusals));
        }
    }

    private static <K> K oldest(Map<K, Long> times) {
        return times.entrySet().stream()
                .min(Comparator.comparingLong(Map.Entry::getValue))
                .orElseThrow()
                .getKey();
    }
}
