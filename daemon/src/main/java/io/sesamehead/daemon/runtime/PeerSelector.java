package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.membership.DaemonDirectory;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.coordination.membership.RelayAssignment;
import io.sesamehead.daemon.transport.Addresses;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/**
 * Chooses the peers that this daemon dials: every daemon of its failure domain, the two relays of each other failure
 * domain, and the seeds that are not known yet. Used by one task only.
 */
public final class PeerSelector {
    /** A relay candidate that was dialled this long without being heard is passed over. */
    private static final long UNANSWERED_MILLIS = 10_000;

    /** A candidate that was passed over is tried again after this time. */
    private static final long RETRY_MILLIS = 60_000;

    private final DaemonDirectory directory;
    private final DaemonEntry self;
    private final List<InetSocketAddress> seeds;
    private final Map<DaemonId, Long> dialledSince = new HashMap<>();

    /**
     * Creates the choice.
     *
     * @param directory the known daemons
     * @param self this daemon
     * @param seeds peer addresses that are tried at start
     */
    public PeerSelector(DaemonDirectory directory, DaemonEntry self, List<InetSocketAddress> seeds) {
        this.directory = directory;
        this.self = self;
        this.seeds = seeds;
    }

    /**
     * Chooses the peers to be connected to.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @return their peer addresses
     */
    public Set<InetSocketAddress> select(long nowMillis) {
        Set<InetSocketAddress> result = new HashSet<>();
        Map<FailureDomain, ImmutableList<DaemonEntry>> known = byFailureDomain(directory.known());
        Set<DaemonId> live =
                directory.live(nowMillis).stream().map(DaemonEntry::daemon).collect(Collectors.toSet());
        known.forEach((failureDomain, daemons) -> {
            if (failureDomain.equals(self.failureDomain())) {
                daemons.forEach(daemon -> add(result, daemon));
            } else {
                relays(nowMillis, failureDomain, daemons, live).forEach(daemon -> add(result, daemon));
            }
        });
        Set<String> knownAddresses =
                directory.known().stream().map(DaemonEntry::peerAddress).collect(Collectors.toSet());
        seeds.stream()
                .filter(seed -> !knownAddresses.contains(Addresses.text(seed)))
                .forEach(result::add);
        return result;
    }

    private List<DaemonEntry> relays(
            long nowMillis, FailureDomain failureDomain, List<DaemonEntry> daemons, Set<DaemonId> live) {
        List<DaemonId> candidates = daemons.stream()
                .filter(daemon -> !daemon.leaving())
                .map(DaemonEntry::daemon)
                .filter(daemon -> live.contains(daemon) || mayAnswer(nowMillis, daemon))
                .toList();
        List<DaemonId> chosen = RelayAssignment.relays(failureDomain, candidates);
        chosen.forEach(daemon -> {
            if (live.contains(daemon)) {
                dialledSince.put(daemon, nowMillis);
            } else {
                dialledSince.putIfAbsent(daemon, nowMillis);
            }
        });
        return daemons.stream()
                .filter(daemon -> chosen.contains(daemon.daemon()))
                .toList();
    }

    private boolean mayAnswer(long nowMillis, DaemonId daemon) {
        Long since = dialledSince.get(daemon);
        if (since == null || nowMillis - since < UNANSWERED_MILLIS) {
            return true;
        }
        if (nowMillis - since > RETRY_MILLIS) {
            dialledSince.remove(daemon);
            return true;
        }
        return false;
    }

    private static Map<FailureDomain, ImmutableList<DaemonEntry>> byFailureDomain(List<DaemonEntry> daemons) {
        return daemons.stream()
                .collect(Collectors.groupingBy(
                        DaemonEntry::failureDomain, TreeMap::new, ImmutableList.toImmutableList()));
    }

    private void add(Set<InetSocketAddress> result, DaemonEntry daemon) {
        if (daemon.daemon().equals(self.daemon())) {
            return;
        }
        try {
            result.add(Addresses.parse(daemon.peerAddress()));
        } catch (IllegalArgumentException e) {
            Logger.warn("peer: {} has an unreadable peer address: {}", daemon.daemon(), daemon.peerAddress());
        }
    }
}
