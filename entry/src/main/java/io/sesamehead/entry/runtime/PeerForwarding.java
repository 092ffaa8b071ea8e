package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.BusyUpstreams;
import io.sesamehead.coordination.dispatch.Dispatcher;
import io.sesamehead.coordination.dispatch.PeerSelector;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.entry.transport.HttpConnectionPool;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Finds the targets to which this daemon has lost its path and the peers that pass calls on to them, and notices when a
 * path is back. Confined to the event loop.
 */
final class PeerForwarding {
    /** Interval of the connections that test a lost path, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 500;
    /** Time for which a peer that refused to pass a call on gets none, in milliseconds. */
    private static final long REFUSAL_BACKOFF_MILLIS = 300;

    private final Clocks clocks;
    private final Fleet fleet;
    private final TargetTable table;
    private final BusyUpstreams busyUpstreams;
    private final Dispatcher dispatcher;
    private final PeerSelector selector;
    private final PeerReporter peers;
    private final HttpConnectionPool clients;
    private final EventLog log;
    private final DaemonMetrics metrics;
    /** Time of the next connection to each target to which the path is lost. */
    private final Map<TargetKey, Long> nextProbes = new HashMap<>();

    PeerForwarding(
            Clocks clocks,
            Fleet fleet,
            TargetTable table,
            BusyUpstreams busyUpstreams,
            Dispatcher dispatcher,
            PeerSelector selector,
            PeerReporter peers,
            HttpConnectionPool clients,
            EventLog log,
            DaemonMetrics metrics) {
        this.clocks = clocks;
        this.fleet = fleet;
        this.table = table;
        this.busyUpstreams = busyUpstreams;
        this.dispatcher = dispatcher;
        this.selector = selector;
        this.peers = peers;
        this.clients = clients;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Chooses a peer that passes on a call, if this daemon has lost its path to any of the targets that the peer may use.
     *
     * @param serving targets that may run the call
     * @param allowed whether the call may be passed on to a peer
     */
    Optional<Target> selectPeer(ServiceName service, List<Target> serving, Predicate<Target> allowed) {
        long now = clocks.steadyMillis();
        List<Target> targets = serving.stream()
                .filter(target -> !dispatcher.isEvacuated(target))
                .toList();
        if (targets.stream().noneMatch(target -> table.isPathLost(target.key(), now))) {
            return Optional.empty();
        }
        List<PeerSelector.Peer> candidates = peers.directory().peerTargets(service).stream()
                .filter(peer -> allowed.test(peer.target()))
                .toList();
        return selector.select(targets, candidates, now);
    }

    /** Returns whether this daemon has lost its path to most of the groups, although its peers reach them. */
    boolean isCutOff() {
        List<Target> groups = fleet.servingTargets().stream()
                .filter(target -> target.engine().isPresent())
                .toList();
        return selector.isCutOff(groups, clocks.steadyMillis());
    }

    /** Keeps calls away for a while from a peer that refused to pass one on. */
    void recordRefusal(Target peer) {
        busyUpstreams.recordBusy(peer.upstream().id(), REFUSAL_BACKOFF_MILLIS, clocks.steadyMillis());
    }

    /** Keeps calls away for a while from a peer that cannot be reached or that broke off. */
    void recordFailure(Target peer) {
        table.recordUnreachable(peer.key(), clocks.steadyMillis());
        log.write(EventLog.Component.PEER, "unreachable-peer", "peer", peer.key());
    }

    /** Stops using a target at which only this daemon's calls are silent, until it can connect again. */
    void recordSilentPath(TargetKey key) {
        table.recordUnreachable(key, clocks.steadyMillis());
        fleet.servingTargets().stream()
                .filter(target -> target.key().equals(key))
                .forEach(target -> clients.closeIdle(target.upstream().endpoint()));
    }

    /** Connects to the targets to which the path is lost, to learn when it is back. Evacuated ones get no connection. */
    void probeLostPaths() {
        long now = clocks.steadyMillis();
        nextProbes.keySet().removeIf(key -> !table.isPathLost(key, now));
        for (Target target : fleet.servingTargets()) {
            boolean lost = table.isPathLost(target.key(), now) && !dispatcher.isEvacuated(target);
            if (lost && now >= nextProbes.getOrDefault(target.key(), now)) {
                if (nextProbes.put(target.key(), now + PROBE_INTERVAL_MILLIS) == null) {
                    log.write(EventLog.Component.GROUP, "path-lost", "target", target.key());
                    metrics.count("paths_lost");
                }
                clients.probe(target.upstream().endpoint(), () -> recordRestored(target));
            }
        }
    }

    private void recordRestored(Target target) {
        table.recordReached(target.key());
        log.write(EventLog.Component.GROUP, "path-restored", "target", target.key());
    }
}
