package io.sesamehead.coordination.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Calls in flight at each target, from this daemon and as reported by its peers, and the time of each target's last
 * progress. Detects stalled targets. Not thread-safe: confined to the event loop.
 */
public final class TargetTable {
    /** Time without progress at any daemon after which a target is stalled, in milliseconds: seven event intervals. */
    public static final long STALL_MILLIS = 400;
    /**
     * Added to the stall time while peers report in aggregate, in milliseconds: two reports and a slow event loop turn on
     * a small VM.
     */
    private static final long AGGREGATE_LAG_MILLIS = 450;
    /**
     * Time without progress at this daemon after which its calls move to other targets, in milliseconds: allows for the
     * retransmission of a lost packet.
     */
    public static final long LOCAL_STALL_MILLIS = 1_000;
    /** Stall time of a plain service, which answers in one piece, in milliseconds: above its longest usual run time. */
    private static final long PLAIN_STALL_MILLIS = 1_500;
    /** Age after which a peer's report expires, in milliseconds: several consecutive lost datagrams. */
    private static final long REPORT_TTL_MILLIS = 1_200;
    /** Multiple of the average event interval that a slow target may take before it is considered stalled. */
    private static final int SLOW_FACTOR = 6;
    /** Time after which calls probe a suspected target again, in milliseconds: about the duration of a repair. */
    private static final long SUSPICION_MILLIS = 2_500;
    /** Initial backoff after a failed connection to a target, in milliseconds: about the connect timeout. */
    private static final long MIN_UNREACHABLE_MILLIS = 1_000;
    /** Maximum backoff, in milliseconds, so that a target that recovers is used again within a few seconds. */
    private static final long MAX_UNREACHABLE_MILLIS = 4_000;
    /** Maximum stall time granted to a slow target, in milliseconds. */
    private static final long MAX_STALL_MILLIS = 1_500;
    /** Weight of the newest event interval in the moving average. */
    private static final double INTERVAL_WEIGHT = 0.2;

    private final Map<TargetKey, LocalState> local = new HashMap<>();
    private final Map<String, PeerReport> peerReports = new HashMap<>();
    private final Map<TargetKey, Integer> peerInFlight = new HashMap<>();
    private final Map<TargetKey, Long> peerLastProgressMillis = new HashMap<>();
    private final Map<TargetKey, Integer> peerSuspicions = new HashMap<>();
    private boolean aggregated;

    private static final class LocalState {
        private int inFlight;
        private long lastProgressMillis;
        private double intervalMillis;
        private long suspectedUntil = Long.MIN_VALUE;
        private long unreachableUntil = Long.MIN_VALUE;
        private long unreachableMillis;

        private boolean suspected(long nowMillis) {
            return nowMillis < suspectedUntil;
        }
    }

    private record PeerReport(long receivedAt, int daemons, List<TargetReport> rows) {}

    /**
     * Records that a call was sent.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordSent(TargetKey key, long nowMillis) {
        LocalState state = local.computeIfAbsent(key, name -> new LocalState());
        if (state.inFlight == 0) {
            state.lastProgressMillis = nowMillis;
        }
        state.inFlight++;
    }

    /**
     * Records an event or an answer.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordProgress(TargetKey key, long nowMillis) {
        LocalState state = local.get(key);
        if (state == null) {
            return;
        }
        double interval = nowMillis - state.lastProgressMillis;
        state.intervalMillis += (interval - state.intervalMillis) * INTERVAL_WEIGHT;
        state.lastProgressMillis = nowMillis;
        state.suspectedUntil = Long.MIN_VALUE;
        state.unreachableUntil = Long.MIN_VALUE;
        state.unreachableMillis = 0;
    }

    /**
     * Records a failed connection to a target. Peers are not informed because the fault may be on this daemon's side.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordUnreachable(TargetKey key, long nowMillis) {
        LocalState state = local.get(key);
        if (state == null) {
            return;
        }
        state.unreachableMillis = state.unreachableMillis == 0
                ? MIN_UNREACHABLE_MILLIS
                : Math.min(MAX_UNREACHABLE_MILLIS, 2 * state.unreachableMillis);
        state.unreachableUntil = nowMillis + state.unreachableMillis;
    }

    /**
     * Records that a call ended or was cancelled.
     *
     * @param key the target
     */
    public void recordEnded(TargetKey key) {
        LocalState state = local.get(key);
        if (state != null && state.inFlight > 0) {
            state.inFlight--;
        }
    }

    /**
     * Replaces the previous report of another daemon.
     *
     * @param daemon the daemon
     * @param rows the daemon's calls, one row for each target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void replaceReport(String daemon, List<TargetReport> rows, long nowMillis) {
        replaceReport(daemon, 1, rows, nowMillis);
    }

    /**
     * Replaces the previous report of a sender.
     *
     * @param sender a daemon, or a relay that aggregates the reports of several daemons
     * @param daemons number of daemons that the report covers
     * @param rows their calls, one row for each target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void replaceReport(String sender, int daemons, List<TargetReport> rows, long nowMillis) {
        removeReports(peerReports.put(sender, new PeerReport(nowMillis, daemons, List.copyOf(rows))));
        aggregated |= daemons > 1;
        for (TargetReport row : rows) {
            peerInFlight.merge(row.key(), row.inFlight(), Integer::sum);
            peerLastProgressMillis.merge(row.key(), nowMillis - row.silentMillis(), Math::max);
            if (row.suspected()) {
                peerSuspicions.merge(row.key(), 1, Integer::sum);
            }
        }
    }

    /**
     * Returns the number of calls in flight at a target, over all daemons.
     *
     * @param key the target
     * @return the count
     */
    public int inFlight(TargetKey key) {
        LocalState state = local.get(key);
        return (state == null ? 0 : state.inFlight) + peerInFlight.getOrDefault(key, 0);
    }

    /**
     * Returns the number of this daemon's calls in flight at a target.
     *
     * @param key the target
     * @return the count
     */
    public int ownInFlight(TargetKey key) {
        LocalState state = local.get(key);
        return state == null ? 0 : state.inFlight;
    }

    /**
     * Returns whether a target is suspected: it has calls in flight and no daemon has seen progress for too long.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return true while the target is suspected by this daemon or another one
     */
    public boolean isSuspected(TargetKey key, long nowMillis) {
        LocalState state = local.get(key);
        return (state != null && state.suspected(nowMillis)) || peerSuspicions.containsKey(key);
    }

    /**
     * Returns whether a target is lost, so that its group can be replaced.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the target is lost
     */
    public boolean isLost(TargetKey key, long nowMillis) {
        return isSuspected(key, nowMillis);
    }

    /**
     * Returns whether a peer suspects a target.
     *
     * @param key the target
     * @return true while a peer reports a suspicion
     */
    public boolean isSuspectedByPeer(TargetKey key) {
        return peerSuspicions.containsKey(key);
    }

    /**
     * Returns whether this daemon may send calls to a target.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return false while the target is suspected, or during the backoff after a failed connection from this daemon
     */
    public boolean isUsable(TargetKey key, long nowMillis) {
        LocalState state = local.get(key);
        boolean reachable = state == null || nowMillis >= state.unreachableUntil;
        return reachable && !isSuspected(key, nowMillis);
    }

    /**
     * Expires outdated reports and finds stalled targets.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return targets at which calls of this daemon make no progress; a target that no daemon sees progress at becomes
     *     suspected and is returned once per suspicion, the others are returned each time
     */
    public List<TargetKey> findStalled(long nowMillis) {
        expire(nowMillis);
        long lag = aggregated ? AGGREGATE_LAG_MILLIS : 0;
        List<TargetKey> stalled = new ArrayList<>();
        for (Map.Entry<TargetKey, LocalState> entry : local.entrySet()) {
            LocalState state = entry.getValue();
            if (state.inFlight == 0 || state.suspected(nowMillis)) {
                continue;
            }
            long ownSilence = nowMillis - state.lastProgressMillis;
            long silence = nowMillis - Math.max(state.lastProgressMillis, peerLastProgress(entry.getKey()));
            boolean group = entry.getKey().replica().model().isPresent();
            long limit = lag + stallMillis(state, group ? STALL_MILLIS : PLAIN_STALL_MILLIS);
            long localLimit = stallMillis(state, group ? LOCAL_STALL_MILLIS : PLAIN_STALL_MILLIS);
            if (silence > limit || ownSilence > localLimit) {
                if (silence > limit) {
                    state.suspectedUntil = nowMillis + SUSPICION_MILLIS;
                }
                stalled.add(entry.getKey());
            }
        }
        return stalled;
    }

    /**
     * Returns the time since this daemon last received anything from a target.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return the time in milliseconds, or 0 if this daemon has sent nothing there
     */
    public long ownSilenceMillis(TargetKey key, long nowMillis) {
        LocalState state = local.get(key);
        return state == null ? 0 : nowMillis - state.lastProgressMillis;
    }

    /**
     * Returns the time since any daemon last received anything from a target.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return the time in milliseconds, or 0 if this daemon has sent nothing there
     */
    public long silenceMillis(TargetKey key, long nowMillis) {
        return Math.min(ownSilenceMillis(key, nowMillis), nowMillis - peerLastProgress(key));
    }

    /**
     * Returns this daemon's rows for its report to peers.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return one row for each target that has calls in flight or is suspected
     */
    public List<TargetReport> localReports(long nowMillis) {
        List<TargetReport> rows = new ArrayList<>();
        local.forEach((key, state) -> {
            boolean suspected = state.suspected(nowMillis);
            if (state.inFlight > 0 || suspected) {
                rows.add(new TargetReport(key, state.inFlight, nowMillis - state.lastProgressMillis, suspected));
            }
        });
        return rows;
    }

    /**
     * Returns whether the calls of peers are known in aggregate. Aggregates are older than reports of single daemons.
     *
     * @return true while any report covers several daemons
     */
    public boolean hasAggregates() {
        return aggregated;
    }

    /**
     * Aggregates this daemon's rows with those of selected senders.
     *
     * @param selected selects the senders to include
     * @param nowMillis current monotonic time, in milliseconds
     * @return one row for each target that any of them reported
     */
    public List<TargetReport> aggregate(Predicate<String> selected, long nowMillis) {
        Map<TargetKey, TargetReport> sums = new HashMap<>();
        localReports(nowMillis).forEach(row -> sums.put(row.key(), row));
        peerReports.forEach((sender, peer) -> {
            if (selected.test(sender)) {
                long age = nowMillis - peer.receivedAt();
                peer.rows().forEach(row -> sums.merge(row.key(), row.aged(age), TargetReport::plus));
            }
        });
        return List.copyOf(sums.values());
    }

    /**
     * Removes the reports of selected senders.
     *
     * @param selected selects the senders whose reports are removed
     */
    public void removeReports(Predicate<String> selected) {
        Iterator<Map.Entry<String, PeerReport>> senders = peerReports.entrySet().iterator();
        while (senders.hasNext()) {
            Map.Entry<String, PeerReport> sender = senders.next();
            if (selected.test(sender.getKey())) {
                senders.remove();
                removeReports(sender.getValue());
            }
        }
    }

    /**
     * Returns the number of daemons that the reports of selected senders cover.
     *
     * @param selected selects the senders to include
     * @return the number, without this daemon
     */
    public int daemonCount(Predicate<String> selected) {
        int count = 0;
        for (Map.Entry<String, PeerReport> peer : peerReports.entrySet()) {
            count += selected.test(peer.getKey()) ? peer.getValue().daemons() : 0;
        }
        return count;
    }

    /**
     * Removes targets that no longer exist. A target with calls of this daemon in flight is kept.
     *
     * @param known selects the targets that are still listed
     */
    public void retainTargets(Predicate<TargetKey> known) {
        local.entrySet().removeIf(entry -> entry.getValue().inFlight == 0 && !known.test(entry.getKey()));
        peerLastProgressMillis.keySet().removeIf(key -> !known.test(key));
    }

    /**
     * Shifts all progress times after a pause of this process, so that the pause does not count as a stall of the
     * targets.
     *
     * @param pauseMillis length of the pause, in milliseconds
     */
    public void compensatePause(long pauseMillis) {
        local.values().forEach(state -> state.lastProgressMillis += pauseMillis);
        peerLastProgressMillis.replaceAll((key, at) -> at + pauseMillis);
    }

    /**
     * Returns the number of other daemons that report, directly or through a relay.
     *
     * @return the count
     */
    public int peerCount() {
        return daemonCount(sender -> true);
    }

    private static long stallMillis(LocalState state, long floorMillis) {
        return Math.max(floorMillis, Math.min(MAX_STALL_MILLIS, (long) (state.intervalMillis * SLOW_FACTOR)));
    }

    private long peerLastProgress(TargetKey key) {
        return peerLastProgressMillis.getOrDefault(key, Long.MIN_VALUE / 2);
    }

    private void expire(long nowMillis) {
        aggregated = peerReports.values().stream().anyMatch(peer -> peer.daemons() > 1);
        Iterator<PeerReport> rows = peerReports.values().iterator();
        while (rows.hasNext()) {
            PeerReport peer = rows.next();
            if (nowMillis - peer.receivedAt() > REPORT_TTL_MILLIS) {
                rows.remove();
                removeReports(peer);
            }
        }
    }

    private void removeReports(PeerReport old) {
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
