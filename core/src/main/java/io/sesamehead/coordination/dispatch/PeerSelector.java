package io.sesamehead.coordination.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Chooses a daemon that passes on a call whose targets this daemon does not reach. A call is passed on once at most, and
 * only while peers reach a target to which this daemon has lost its path. Not thread-safe: confined to the event loop.
 */
public final class PeerSelector {
    /** Number of lost paths from which the fault lies in this daemon's network: a single one may be that of a link. */
    private static final int MIN_LOST_TARGETS = 2;

    private final TargetTable table;
    private final Dispatcher dispatcher;

    /**
     * Creates a selector.
     *
     * @param table what this daemon and its peers know of the targets
     * @param dispatcher compares the load of peers
     */
    public PeerSelector(TargetTable table, Dispatcher dispatcher) {
        this.table = table;
        this.dispatcher = dispatcher;
    }

    /**
     * Returns whether this daemon has lost its path to most of the targets.
     *
     * @param targets the targets
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if peers reach at least half of them, and several, and this daemon does not
     */
    public boolean isCutOff(List<Target> targets, long nowMillis) {
        long lost = targets.stream()
                .filter(target -> table.isPathLost(target.key(), nowMillis))
                .count();
        return lost >= MIN_LOST_TARGETS && 2 * lost >= targets.size();
    }

    /**
     * Chooses a peer.
     *
     * @param targets targets that serve the call, tried or not, to which this daemon may have lost its path
     * @param peers the peers that the call has not been passed on to, as targets
     * @param nowMillis current monotonic time, in milliseconds
     * @return the peer, or empty if no path is lost or no peer is known to reach a target
     */
    public Optional<Target> select(List<Target> targets, List<Peer> peers, long nowMillis) {
        List<TargetKey> lost = targets.stream()
                .map(Target::key)
                .filter(key -> table.isPathLost(key, nowMillis))
                .toList();
        if (lost.isEmpty()) {
            return Optional.empty();
        }
        List<Target> reaching = peers.stream()
                .filter(peer -> table.hasAggregates()
                        || lost.stream().anyMatch(key -> table.isReachedBy(peer.sender(), key, nowMillis)))
                .map(Peer::target)
                .toList();
        return dispatcher.leastLoaded(reaching, nowMillis);
    }

    /**
     * A daemon that may pass calls on.
     *
     * @param sender name under which its reports are stored
     * @param target the daemon as a target
     */
    public record Peer(String sender, Target target) {}
}
