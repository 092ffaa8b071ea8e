package io.sesamehead.coordination.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the daemons to which a daemon sends its reports. In a small deployment every daemon reports to all others (a
 * full mesh). In a large one, each daemon reports to one relay of its failure domain, which aggregates the reports and
 * sends the aggregates back to the reporting daemons and to the other relays, so that the number of datagrams per
 * daemon does not grow with the number of daemons. A daemon is a relay for those that report to it; no agreement is
 * needed, and daemons fail over from a silent relay to the next. Not thread-safe.
 */
public final class ReportTopology {
    /** Maximum number of other daemons in a full mesh: a daemon then handles about 320 datagrams per second. */
    public static final int MAX_MESH_PEERS = 24;
    /**
     * Silence after which a daemon fails over to the next relay, in milliseconds: three report intervals of a relay.
     */
    private static final long RELAY_TIMEOUT_MILLIS = 700;
    /** Interval at which the preferred relay is retried, in milliseconds: about the duration of a restart. */
    private static final long PREFERRED_RETRY_MILLIS = 5_000;
    /** Time after a daemon's last message for which aggregates are sent to it, in milliseconds. */
    private static final long SENDER_TIMEOUT_MILLIS = 1_200;
    /**
     * Number of preferred relays of each failure domain that receive the aggregates; daemons may disagree on which one
     * is up.
     */
    private static final int RELAYS_PER_FAILURE_DOMAIN = 2;

    private final DaemonId self;
    private final FailureDomain localDomain;
    private final Map<DaemonId, Long> reporters = new HashMap<>();
    private final Map<DaemonId, Long> otherRelays = new HashMap<>();
    private ImmutableMap<DaemonId, FailureDomain> peers = ImmutableMap.of();
    private ImmutableList<DaemonId> candidates;
    private ImmutableList<DaemonId> preferredRelays = ImmutableList.of();
    private int currentIndex;
    private long relayLastMessageMillis = Long.MIN_VALUE;
    private long preferredRetriedAtMillis;

    /**
     * Creates the topology of a daemon that has no peers yet.
     *
     * @param self the daemon
     * @param localDomain its failure domain
     */
    public ReportTopology(DaemonId self, FailureDomain localDomain) {
        this.self = self;
        this.localDomain = localDomain;
        this.candidates = ImmutableList.of(self);
    }

    /**
     * Updates the list of daemons. It may contain daemons that no longer run.
     *
     * @param listed all other daemons and their failure domains
     */
    public void updatePeers(Map<DaemonId, FailureDomain> listed) {
        if (peers.equals(listed)) {
            return;
        }
        peers = ImmutableMap.copyOf(listed);
        Set<DaemonId> ids = inDomain(localDomain);
        ids.add(self);
        candidates = ranked(localDomain, ids);
        currentIndex = 0;
        relayLastMessageMillis = Long.MIN_VALUE;
        preferredRelays = choosePreferredRelays();
    }

    /**
     * Returns whether the daemon sends its reports to all others.
     *
     * @return true if there are at most {@link #MAX_MESH_PEERS} others
     */
    public boolean mesh() {
        return peers.size() <= MAX_MESH_PEERS;
    }

    /**
     * Returns the relays to send a report to now: the current one and, at intervals, the preferred one in case it is
     * back. Fails over to the next relay if the current one has been silent for too long.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the relays without this daemon; empty while it is its own relay
     */
    public List<DaemonId> currentRelays(long nowMillis) {
        if (relayLastMessageMillis == Long.MIN_VALUE
                || candidates.get(currentIndex).equals(self)) {
            relayLastMessageMillis = nowMillis;
        }
        if (nowMillis - relayLastMessageMillis > RELAY_TIMEOUT_MILLIS) {
            currentIndex = (currentIndex + 1) % candidates.size();
            relayLastMessageMillis = nowMillis;
            preferredRetriedAtMillis = nowMillis;
        }
        List<DaemonId> chosen = new ArrayList<>();
        add(chosen, candidates.get(currentIndex));
        if (currentIndex > 0 && nowMillis - preferredRetriedAtMillis >= PREFERRED_RETRY_MILLIS) {
            preferredRetriedAtMillis = nowMillis;
            add(chosen, candidates.get(0));
        }
        return chosen;
    }

    /**
     * Records that a relay of the same failure domain has sent aggregates to this daemon.
     *
     * @param relay the relay
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordOwnRelay(DaemonId relay, long nowMillis) {
        int rank = candidates.indexOf(relay);
        if (rank >= 0 && rank <= currentIndex) {
            currentIndex = rank;
            relayLastMessageMillis = nowMillis;
        }
    }

    /**
     * Records that a daemon has reported to this one, which makes this one its relay.
     *
     * @param daemon the daemon
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordReporter(DaemonId daemon, long nowMillis) {
        reporters.put(daemon, nowMillis);
    }

    /**
     * Returns the daemons that report to this one.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the daemons that have reported recently
     */
    public Set<DaemonId> reporters(long nowMillis) {
        reporters.values().removeIf(lastMessageMillis -> nowMillis - lastMessageMillis > SENDER_TIMEOUT_MILLIS);
        return ImmutableSet.copyOf(reporters.keySet());
    }

    /**
     * Returns whether this daemon sends aggregates to the other relays.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return true while other daemons report to it, or while it is its own relay
     */
    public boolean relaying(long nowMillis) {
        return candidates.get(currentIndex).equals(self)
                || !reporters(nowMillis).isEmpty();
    }

    /**
     * Records that another relay has sent the aggregates of its reporting daemons.
     *
     * @param relay the relay
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordPeerRelay(DaemonId relay, long nowMillis) {
        otherRelays.put(relay, nowMillis);
    }

    /**
     * Returns the relays to which this daemon sends its aggregates while it is a relay.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the preferred relays of each failure domain, and the relays that have sent aggregates recently
     */
    public Set<DaemonId> aggregateRecipients(long nowMillis) {
        otherRelays.values().removeIf(lastMessageMillis -> nowMillis - lastMessageMillis > SENDER_TIMEOUT_MILLIS);
        Set<DaemonId> all = new HashSet<>(preferredRelays);
        all.addAll(otherRelays.keySet());
        return all;
    }

    private ImmutableList<DaemonId> choosePreferredRelays() {
        Set<FailureDomain> domains = new HashSet<>(peers.values());
        domains.add(localDomain);
        ImmutableList.Builder<DaemonId> chosen = ImmutableList.builder();
        for (FailureDomain domain : domains) {
            List<DaemonId> ranked = domain.equals(localDomain) ? candidates : ranked(domain, inDomain(domain));
            ranked.stream()
                    .limit(RELAYS_PER_FAILURE_DOMAIN)
                    .filter(id -> !id.equals(self))
                    .forEach(chosen::add);
        }
        return chosen.build();
    }

    private Set<DaemonId> inDomain(FailureDomain domain) {
        return peers.entrySet().stream()
                .filter(entry -> entry.getValue().equals(domain))
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(HashSet::new));
    }

    private static ImmutableList<DaemonId> ranked(FailureDomain domain, Set<DaemonId> ids) {
        return RendezvousHash.top("report:" + domain.value(), ids, ids.size());
    }

    private void add(List<DaemonId> chosen, DaemonId relay) {
        if (!relay.equals(self) && !chosen.contains(relay)) {
            chosen.add(relay);
        }
    }
}
