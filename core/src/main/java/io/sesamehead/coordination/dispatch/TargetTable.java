package io.sesamehead.coordination.dispatch;

import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Calls in flight at each target, from this daemon and as reported by its peers, and the time of each target's last
 * progress. Detects stalled targets. Not thread-safe: confined to the event loop.
 */
public final class TargetTable {
    /**
     * Added to the limits of silence while peers report in aggregate, in milliseconds: two reports and a slow event loop turn on
     * a small VM.
     */
    private static final long AGGREGATE_LAG_MILLIS = 450;
    /** Age after which a peer's report expires, in milliseconds: several consecutive lost datagrams. */
    private static final long REPORT_TTL_MILLIS = 1_200;
    /** Time after which calls probe a suspected target again, in milliseconds: about the duration of a repair. */
    private static final long SUSPICION_MILLIS = 2_500;
    /** Time for which progress is reported after the last call ended, in milliseconds: two reports. */
    private static final long RECENT_PROGRESS_MILLIS = 400;

    private final Map<TargetKey, LocalCalls> local = new HashMap<>();
    private final TargetPaths paths = new TargetPaths();
    private final Map<String, PeerReport> peerReports = new HashMap<>();
    private final Map<TargetKey, Integer> peerInFlight = new HashMap<>();
    private final Map<TargetKey, Long> peerLastProgressMillis = new HashMap<>();
    private final Map<TargetKey, Integer> peerSuspicions = new HashMap<>();
    private final Map<TargetKey, Long> peerSuspectedSince = new HashMap<>();
    /** Time since when calls have been in flight at a target without a gap, over all daemons. */
    private final Map<TargetKey, Long> inFlightSince = new HashMap<>();

    private final Map<TargetKey, Long> lostUntil = new HashMap<>();
    private boolean aggregated;

    /**
     * Records that a call was sent.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordSent(TargetKey key, long nowMillis) {
        local.computeIfAbsent(key, name -> new LocalCalls()).recordSent(nowMillis);
    }

    /**
     * Records an event or an answer.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordProgress(TargetKey key, long nowMillis) {
        LocalCalls state = local.get(key);
        if (state == null) {
            return;
        }
        state.recordProgress(nowMillis);
        paths.recordReached(key);
        lostUntil.remove(key);
    }

    /**
     * Records a failed connection to a target. Peers are not informed because the fault may be on this daemon's side.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordUnreachable(TargetKey key, long nowMillis) {
        paths.recordFailed(key, nowMillis);
    }

    /**
     * Records that this daemon does not read the response of a call for now, because its caller reads slowly. Until it
     * resumes, the call is no evidence of silence.
     *
     * @param key the target
     */
    public void recordPaused(TargetKey key) {
        LocalCalls state = local.get(key);
        if (state != null && state.waiting() > 0) {
            state.recordPaused();
        }
    }

    /**
     * Records that this daemon reads the response of a paused call again.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordResumed(TargetKey key, long nowMillis) {
        Optional.ofNullable(local.get(key)).ifPresent(state -> state.recordResumed(nowMillis));
    }

    /**
     * Records that a call ended or was cancelled.
     *
     * @param key the target
     */
    public void recordEnded(TargetKey key) {
        Optional.ofNullable(local.get(key)).ifPresent(LocalCalls::recordEnded);
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
                peerSuspectedSince.putIfAbsent(row.key(), nowMillis);
            }
            if (row.silentMillis() <= SilenceLimits.STALL_MILLIS
                    || row.silentMillis() <= limits(row.key()).anywhereMillis()) {
                endSuspicion(row.key());
            }
        }
        peerSuspectedSince.keySet().retainAll(peerSuspicions.keySet());
    }

    /** Ends this daemon's suspicion because a peer has seen progress. */
    private void endSuspicion(TargetKey key) {
        lostUntil.remove(key);
        Optional.ofNullable(local.get(key)).ifPresent(LocalCalls::endSuspicion);
    }

    /**
     * Returns the number of calls in flight at a target, over all daemons.
     *
     * @param key the target
     * @return the count
     */
    public int inFlight(TargetKey key) {
        LocalCalls state = local.get(key);
        return (state == null ? 0 : state.inFlight()) + peerInFlight.getOrDefault(key, 0);
    }

    /**
     * Returns the number of this daemon's calls in flight at a target.
     *
     * @param key the target
     * @return the count
     */
    public int ownInFlight(TargetKey key) {
        LocalCalls state = local.get(key);
        return state == null ? 0 : state.inFlight();
    }

    /**
     * Returns whether a target is suspected: it has calls in flight and no daemon has seen progress for too long. The
     * suspicion ends when any daemon sees progress.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return true while the target is suspected by this daemon or another one
     */
    public boolean isSuspected(TargetKey key, long nowMillis) {
        LocalCalls state = local.get(key);
        return (state != null && state.suspected(nowMillis)) || isSuspectedByPeer(key);
    }

    /**
     * Returns whether a target is lost, so that its group can be replaced: it has been silent for longer than any sound
     * target, with calls in flight all that time.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the target is lost
     */
    public boolean isLost(TargetKey key, long nowMillis) {
        return nowMillis < lostUntil.getOrDefault(key, Long.MIN_VALUE)
                || EvidencePolicy.justifies(silence(key, nowMillis), EvidenceReaction.REPLACE);
    }

    /**
     * Returns whether a peer suspects a target.
     *
     * @param key the target
     * @return true while a peer reports a suspicion and no daemon has seen progress since
     */
    public boolean isSuspectedByPeer(TargetKey key) {
        Long since = peerSuspectedSince.get(key);
        return since != null && lastProgressMillis(key) <= since;
    }

    /**
     * Returns whether this daemon may send calls to a target.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return false while the target is suspected, or during the backoff after a failed connection from this daemon
     */
    public boolean isUsable(TargetKey key, long nowMillis) {
        return isReachable(key, nowMillis) && !isSuspected(key, nowMillis);
    }

    /**
     * Returns whether a target is silent and nothing else speaks against it.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return true while the target is suspected, but neither lost nor unreachable
     */
    public boolean isOnlySilent(TargetKey key, long nowMillis) {
        return isSuspected(key, nowMillis) && isReachable(key, nowMillis) && !isLost(key, nowMillis);
    }

    private boolean isReachable(TargetKey key, long nowMillis) {
        return paths.isUsable(key, peerProgressMillis(key), nowMillis);
    }

    private long peerProgressMillis(TargetKey key) {
        return peerLastProgressMillis.getOrDefault(key, Long.MIN_VALUE / 2);
    }

    /**
     * Returns whether this daemon has lost its path to a target: its last connection or calls failed, and a peer has seen
     * progress there since. The fault then lies neither in the target nor in the call.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return true until this daemon reaches the target again, or no peer does
     */
    public boolean isPathLost(TargetKey key, long nowMillis) {
        return paths.isLost(key, peerProgressMillis(key), nowMillis);
    }

    /**
     * Records that a connection to a target could be opened.
     *
     * @param key the target
     */
    public void recordReached(TargetKey key) {
        paths.recordReached(key);
    }

    /**
     * Returns whether a sender reaches a target, as far as it has reported.
     *
     * @param sender a daemon
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if its last report shows progress there
     */
    public boolean isReachedBy(String sender, TargetKey key, long nowMillis) {
        PeerReport report = peerReports.get(sender);
        return report != null && report.shows(key, TargetPaths.PEER_REACH_MILLIS, nowMillis);
    }

    /**
     * Expires outdated reports, suspects silent targets, and finds those at which calls of this daemon wait.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return targets at which calls of this daemon make no progress, until they go on or the calls have ended
     */
    public List<TargetKey> findStalled(long nowMillis) {
        expire(nowMillis);
        recordInFlight(nowMillis);
        List<TargetKey> stalled = new ArrayList<>();
        local.forEach((key, state) -> {
            if (state.waiting() == 0) {
                return;
            }
            Set<EvidenceReaction> reactions = reactionsToSilence(key, nowMillis);
            if (reactions.contains(EvidenceReaction.PREFER_OTHERS)) {
                state.suspectUntil(nowMillis + SUSPICION_MILLIS);
            }
            if (reactions.contains(EvidenceReaction.SECOND_ATTEMPT)) {
                stalled.add(key);
            }
        });
        return stalled;
    }

    private int waiting(TargetKey key) {
        LocalCalls state = local.get(key);
        return (state == null ? 0 : state.waiting()) + peerInFlight.getOrDefault(key, 0);
    }

    /** Updates since when calls have been in flight, and remembers which targets are lost. */
    private void recordInFlight(long nowMillis) {
        inFlightSince.keySet().removeIf(key -> waiting(key) == 0);
        for (TargetKey key : Sets.union(local.keySet(), peerInFlight.keySet())) {
            if (waiting(key) > 0) {
                inFlightSince.putIfAbsent(key, nowMillis);
            }
        }
        lostUntil.values().removeIf(end -> nowMillis >= end);
        for (TargetKey key : inFlightSince.keySet()) {
            if (reactionsToSilence(key, nowMillis).contains(EvidenceReaction.REPLACE)) {
                lostUntil.put(key, nowMillis + SUSPICION_MILLIS);
            }
        }
    }

    private Set<EvidenceReaction> reactionsToSilence(TargetKey key, long nowMillis) {
        LocalCalls state = local.get(key);
        boolean own = state != null && state.waiting() > 0;
        long progressMillis = own ? state.lastProgressMillis() : lastProgressMillis(key);
        // Nearly all targets have just made progress, after which neither time of a silence can exceed its limit.
        return nowMillis - progressMillis <= SilenceLimits.STALL_MILLIS
                ? Set.of()
                : EvidencePolicy.reactions(silence(key, nowMillis));
    }

    /**
     * Returns the silence of a target.
     *
     * @param key the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return the time without progress while calls were in flight
     */
    public TargetEvidence.Silence silence(TargetKey key, long nowMillis) {
        LocalCalls state = local.get(key);
        boolean own = state != null && state.waiting() > 0;
        long sinceMillis =
                Math.min(inFlightSince.getOrDefault(key, nowMillis), own ? state.inFlightSinceMillis() : nowMillis);
        long anywhereMillis = nowMillis - Math.max(sinceMillis, lastProgressMillis(key));
        long ownMillis = own ? nowMillis - state.silentSinceMillis() : 0;
        return new TargetEvidence.Silence(ownMillis, anywhereMillis, limits(key));
    }

    private SilenceLimits limits(TargetKey key) {
        LocalCalls state = local.get(key);
        return SilenceLimits.of(
                key.replica().model().isPresent(),
                state == null ? 0 : state.intervalMillis(),
                aggregated ? AGGREGATE_LAG_MILLIS : 0);
    }

    /**
     * Returns this daemon's rows for its report to peers. Paused calls are left out.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return one row for each target that has calls in flight, is suspected or has just made progress
     */
    public List<TargetReport> localReports(long nowMillis) {
        List<TargetReport> rows = new ArrayList<>();
        local.forEach((key, state) -> {
            if (key.isPeer()) {
                return;
            }
            boolean suspected = state.suspected(nowMillis);
            long silentMillis = Math.min(TargetReport.NO_PROGRESS_MILLIS, nowMillis - state.lastProgressMillis());
            if (state.waiting() > 0 || suspected || silentMillis <= RECENT_PROGRESS_MILLIS) {
                rows.add(new TargetReport(key, state.waiting(), silentMillis, suspected));
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
        for (String sender : List.copyOf(peerReports.keySet())) {
            if (selected.test(sender)) {
                removeReports(peerReports.remove(sender));
            }
        }
        peerSuspectedSince.keySet().retainAll(peerSuspicions.keySet());
    }

    /**
     * Returns the number of daemons that the reports of selected senders cover.
     *
     * @param selected selects the senders to include
     * @return the number, without this daemon
     */
    public int daemonCount(Predicate<String> selected) {
        return peerReports.entrySet().stream()
                .filter(peer -> selected.test(peer.getKey()))
                .mapToInt(peer -> peer.getValue().daemons())
                .sum();
    }

    /**
     * Removes targets that no longer exist. A target with calls of this daemon in flight is kept.
     *
     * @param known selects the targets that are still listed
     */
    public void retainTargets(Predicate<TargetKey> known) {
        local.entrySet().removeIf(entry -> entry.getValue().inFlight() == 0 && !known.test(entry.getKey()));
        peerLastProgressMillis.keySet().removeIf(key -> !known.test(key));
        lostUntil.keySet().removeIf(key -> !known.test(key));
        paths.retainTargets(known);
    }

    /**
     * Shifts all progress times after a pause of this process, so that the pause does not count as a stall of the
     * targets.
     *
     * @param pauseMillis length of the pause, in milliseconds
     */
    public void compensatePause(long pauseMillis) {
        local.values().forEach(state -> state.compensatePause(pauseMillis));
        inFlightSince.replaceAll((key, at) -> at + pauseMillis);
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

    /**
     * Returns when any daemon last saw progress, as far as known here.
     *
     * @param key the target
     * @return a monotonic time in milliseconds, far in the past if there was no progress
     */
    public long lastProgressMillis(TargetKey key) {
        LocalCalls state = local.get(key);
        long own = state == null ? Long.MIN_VALUE / 2 : state.lastProgressMillis();
        return Math.max(own, peerProgressMillis(key));
    }

    private void expire(long nowMillis) {
        aggregated = peerReports.values().stream().anyMatch(peer -> peer.daemons() > 1);
        removeReports(sender -> nowMillis - peerReports.get(sender).receivedAt() > REPORT_TTL_MILLIS);
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
