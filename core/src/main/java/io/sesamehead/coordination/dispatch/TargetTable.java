package io.sesamehead.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Calls in flight at each target, this daemon's own and those that other daemons report, and when a target last
 * produced anything for any of them. Not thread-safe: it belongs to the event loop.
 */
public final class TargetTable {
    /** Silence of all streams after which a target counts as stopped, in milliseconds: seven usual event intervals. */
    public static final long STALL_MILLIS = 400;
    /** Added while sums over many daemons are heard, in milliseconds: two reports and a slow turn of a small VM. */
    private static final long SUMS_LAG_MILLIS = 450;
    /** Silence towards this daemon alone after which its calls move, in milliseconds: a lost packet sent again fits. */
    public static final long LOCAL_STALL_MILLIS = 1_000;
    /** The same at an upstream of a plain service, whose answers come whole: above the longest usual work. */
    private static final long PLAIN_STALL_MILLIS = 1_500;
    /** Age beyond which a daemon's report is dropped, in milliseconds: several lost datagrams in a row. */
    private static final long REPORT_TTL_MILLIS = 1_200;
    /** Multiple of the usual interval between events that a slow target may reach before it counts as stopped. */
    private static final int SLOW_FACTOR = 6;
    /** Time after which a suspicion is tested by sending calls again, in milliseconds: a repair takes about as long. */
    private static final long SUSPICION_MILLIS = 2_500;
    /** Time for which a target is left out after a failed connection, in milliseconds: about the wait for one. */
    private static final long UNREACHABLE_MILLIS = 1_000;
    /** Longest such time, in milliseconds: a target that comes back is used again within a few seconds. */
    private static final long MAX_UNREACHABLE_MILLIS = 4_000;
    /** Longest silence granted to a slow target, in milliseconds. */
    private static final long MAX_STALL_MILLIS = 1_500;
    /** Weight of a new interval in the average. */
    private static final double INTERVAL_WEIGHT = 0.2;

    private final Map<TargetKey, Own> own = new HashMap<>();
    private final Map<String, PeerRows> peers = new HashMap<>();
    private final Map<TargetKey, Integer> peerInFlight = new HashMap<>();
    private final Map<TargetKey, Long> peerProgressAt = new HashMap<>();
    private final Map<TargetKey, Integer> peerSuspicions = new HashMap<>();
    private boolean sums;

    private static final class Own {
        private int inFlight;
        private long progressAt;
        private double intervalMillis;
        private long suspectedUntil = Long.MIN_VALUE;
        private long unreachableUntil = Long.MIN_VALUE;
        private long unreachableMillis;

        private boolean suspected(long nowMillis) {
            return nowMillis < suspectedUntil;
        }
    }

    private record PeerRows(long receivedAt, int daemons, List<TargetReport> rows) {}

    /**
     * Records that a call is sent.
     *
     * @param key the target
     * @param nowMillis present steady time
     */
    public void recordSent(TargetKey key, long nowMillis) {
        Own row = own.computeIfAbsent(key, name -> new Own());
        if (row.inFlight == 0) {
            row.progressAt = nowMillis;
        }
        row.inFlight++;
    }

    /**
     * Records an event or an answer.
     *
     * @param key the target
     * @param nowMillis present steady time
     */
    public void recordProgress(TargetKey key, long nowMillis) {
        Own row = own.get(key);
        if (row == null) {
            return;
        }
        double interval = nowMillis - row.progressAt;
        row.intervalMillis += (interval - row.intervalMillis) * INTERVAL_WEIGHT;
        row.progressAt = nowMillis;
        row.suspectedUntil = Long.MIN_VALUE;
        row.unreachableUntil = Long.MIN_VALUE;
        row.unreachableMillis = 0;
    }

    /**
     * Records that no connection to a target could be made. Others are not told: the fault may be on this daemon's side.
     *
     * @param key the target
     * @param nowMillis present steady time
     */
    public void recordUnreachable(TargetKey key, long nowMillis) {
        Own row = own.get(key);
        if (row == null) {
            return;
        }
        row.unreachableMillis = row.unreachableMillis == 0
                ? UNREACHABLE_MILLIS
                : Math.min(MAX_UNREACHABLE_MILLIS, 2 * row.unreachableMillis);
        row.unreachableUntil = nowMillis + row.unreachableMillis;
    }

    /**
     * Records that a call ended or was taken back.
     *
     * @param key the target
     */
    public void recordEnded(TargetKey key) {
        Own row = own.get(key);
        if (row != null && row.inFlight > 0) {
            row.inFlight--;
        }
    }

    /**
     * Takes another daemon's report in place of its earlier one.
     *
     * @param daemon the daemon
     * @param rows its calls by target
     * @param nowMillis present steady time
     */
    public void replaceReport(String daemon, List<TargetReport> rows, long nowMillis) {
        replaceReport(daemon, 1, rows, nowMillis);
    }

    /**
     * Takes the report of one sender in place of its earlier one.
     *
     * @param sender a daemon, or a relay that sends the sums of several
     * @param daemons how many daemons the report speaks for
     * @param rows their calls by target
     * @param nowMillis present steady time
     */
    public void replaceReport(String sender, int daemons, List<TargetReport> rows, long nowMillis) {
        removeReports(peers.put(sender, new PeerRows(nowMillis, daemons, List.copyOf(rows))));
        sums |= daemons > 1;
        for (TargetReport row : rows) {
            peerInFlight.merge(row.key(), row.inFlight(), Integer::sum);
            peerProgressAt.merge(row.key(), nowMillis - row.silentMillis(), Math::max);
            if (row.suspected()) {
                peerSuspicions.merge(row.key(), 1, Integer::sum);
            }
        }
    }

    /**
     * Returns the calls in flight at a target from all daemons.
     *
     * @param key the target
     * @return the count
     */
    public int inFlight(TargetKey key) {
        Own row = own.get(key);
        return (row == null ? 0 : row.inFlight) + peerInFlight.getOrDefault(key, 0);
    }

    /**
     * Returns this daemon's calls in flight at a target.
     *
     * @param key the target
     * @return the count
     */
    public int ownInFlight(TargetKey key) {
        Own row = own.get(key);
        return row == null ? 0 : row.inFlight;
    }

    /**
     * Tells whether calls wait at a target that has sent nothing to any daemon for too long.
     *
     * @param key the target
     * @param nowMillis present steady time
     * @return true while the target is suspected by this daemon or another one
     */
    public boolean isSuspected(TargetKey key, long nowMillis) {
        Own row = own.get(key);
        return (row != null && row.suspected(nowMillis)) || peerSuspicions.containsKey(key);
    }

    /**
     * Tells whether another daemon suspects a target.
     *
     * @param key the target
     * @return true while a report says so
     */
    public boolean isSuspectedByPeer(TargetKey key) {
        return peerSuspicions.containsKey(key);
    }

    /**
     * Tells whether a target gets calls of this daemon.
     *
     * @param key the target
     * @param nowMillis present steady time
     * @return false while the target is suspected, or after connections to it have failed here
     */
    public boolean isUsable(TargetKey key, long nowMillis) {
        Own row = own.get(key);
        boolean reachable = row == null || nowMillis >= row.unreachableUntil;
        return reachable && !isSuspected(key, nowMillis);
    }

    /**
     * Looks for targets that have fallen silent and drops outdated reports.
     *
     * @param nowMillis present steady time
     * @return targets that this daemon newly suspects
     */
    public List<TargetKey> findStalled(long nowMillis) {
        expire(nowMillis);
        long lag = sums ? SUMS_LAG_MILLIS : 0;
        List<TargetKey> stalled = new ArrayList<>();
        for (Map.Entry<TargetKey, Own> entry : own.entrySet()) {
            Own row = entry.getValue();
            if (row.inFlight == 0 || row.suspected(nowMillis)) {
                continue;
            }
            long ownSilence = nowMillis - row.progressAt;
            long silence = nowMillis - Math.max(row.progressAt, peerProgress(entry.getKey()));
            boolean group = entry.getKey().replica().model().isPresent();
            long limit = lag + limitMillis(row, group ? STALL_MILLIS : PLAIN_STALL_MILLIS);
            long localLimit = limitMillis(row, group ? LOCAL_STALL_MILLIS : PLAIN_STALL_MILLIS);
            if (silence > limit || ownSilence > localLimit) {
                if (silence > limit) {
                    row.suspectedUntil = nowMillis + SUSPICION_MILLIS;
                }
                stalled.add(entry.getKey());
            }
        }
        return stalled;
    }

    /**
     * Returns the rows that other daemons are told.
     *
     * @param nowMillis present steady time
     * @return one row for each target with calls in flight or under suspicion
     */
    public List<TargetReport> localReports(long nowMillis) {
        List<TargetReport> rows = new ArrayList<>();
        own.forEach((key, row) -> {
            boolean suspected = row.suspected(nowMillis);
            if (row.inFlight > 0 || suspected) {
                rows.add(new TargetReport(key, row.inFlight, nowMillis - row.progressAt, suspected));
            }
        });
        return rows;
    }

    /**
     * Tells whether the others' calls are known as sums, which are older than reports of each daemon.
     *
     * @return true while a relay speaks for several daemons
     */
    public boolean hasAggregates() {
        return sums;
    }

    /**
     * Sums up this daemon's rows and those of chosen senders.
     *
     * @param chosen decides which senders are included
     * @param nowMillis present steady time
     * @return one row for each target that any of them told of
     */
    public List<TargetReport> aggregate(Predicate<String> chosen, long nowMillis) {
        Map<TargetKey, TargetReport> sums = new HashMap<>();
        localReports(nowMillis).forEach(row -> sums.put(row.key(), row));
        peers.forEach((sender, peer) -> {
            if (chosen.test(sender)) {
                long age = nowMillis - peer.receivedAt();
                peer.rows().forEach(row -> sums.merge(row.key(), row.aged(age), TargetReport::plus));
            }
        });
        return List.copyOf(sums.values());
    }

    /**
     * Forgets the reports of chosen senders.
     *
     * @param chosen decides which senders are forgotten
     */
    public void removeReports(Predicate<String> chosen) {
        Iterator<Map.Entry<String, PeerRows>> senders = peers.entrySet().iterator();
        while (senders.hasNext()) {
            Map.Entry<String, PeerRows> sender = senders.next();
            if (chosen.test(sender.getKey())) {
                senders.remove();
                removeReports(sender.getValue());
            }
        }
    }

    /**
     * Counts the daemons for which chosen senders speak.
     *
     * @param chosen decides which senders are included
     * @return the count without this daemon
     */
    public int daemonCount(Predicate<String> chosen) {
        int count = 0;
        for (Map.Entry<String, PeerRows> peer : peers.entrySet()) {
            count += chosen.test(peer.getKey()) ? peer.getValue().daemons() : 0;
        }
        return count;
    }

    /**
     * Forgets targets that exist no more.
     *
     * @param known decides which targets are still listed
     */
    public void retainTargets(Predicate<TargetKey> known) {
        own.entrySet().removeIf(entry -> entry.getValue().inFlight == 0 && !known.test(entry.getKey()));
        peerProgressAt.keySet().removeIf(key -> !known.test(key));
    }

    /**
     * Shifts all marks after this process did not run, so that its own pause is not taken for a target's silence.
     *
     * @param pauseMillis length of the pause, in milliseconds
     */
    public void compensatePause(long pauseMillis) {
        own.values().forEach(row -> row.progressAt += pauseMillis);
        peerProgressAt.replaceAll((key, at) -> at + pauseMillis);
    }

    /**
     * Returns how many other daemons report, themselves or through a relay.
     *
     * @return the count
     */
    public int peerCount() {
        return daemonCount(sender -> true);
    }

    private static long limitMillis(Own row, long floorMillis) {
        return Math.max(floorMillis, Math.min(MAX_STALL_MILLIS, (long) (row.intervalMillis * SLOW_FACTOR)));
    }

    private long peerProgress(TargetKey key) {
        return peerProgressAt.getOrDefault(key, Long.MIN_VALUE / 2);
    }

    private void expire(long nowMillis) {
        sums = peers.values().stream().anyMatch(peer -> peer.daemons() > 1);
        Iterator<PeerRows> rows = peers.values().iterator();
        while (rows.hasNext()) {
            PeerRows peer = rows.next();
            if (nowMillis - peer.receivedAt() > REPORT_TTL_MILLIS) {
                rows.remove();
                removeReports(peer);
            }
        }
    }

    private void removeReports(PeerRows old) {
        if (old == null) {
            return;
        }
        for (TargetReport row : old.rows()) {
            peerInFlight.computeIfPresent(
                    row.key(),
                    (key, count) -> count <= row.inFlight() ? null : Integer.valueOf(count - row.inFlight()));
            if (row.suspected()) {
                peerSuspicions.computeIfPresent(
                        row.key(), (key, count) -> count <= 1 ? null : Integer.valueOf(count - 1));
            }
        }
    }
}
