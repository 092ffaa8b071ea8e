package io.sesamehead.coordination.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
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
 * Chooses to whom a daemon of a large deployment reports. Few daemons all report to all. Many daemons report to one relay
 * of their failure domain, which sums the reports up and sends the sums to them and to the other relays, so that the
 * datagrams of a daemon do not grow with the number of daemons. A daemon is a relay for those that report to it; no
 * agreement is needed, and a relay that falls silent is left for the next. Not thread-safe.
 */
public final class ReportTopology {
    /** Other daemons up to which all report to all: a daemon then handles some 320 datagrams a second. */
    public static final int MAX_MESH_PEERS = 24;
    /** Silence after which a relay is left, in milliseconds: three of its intervals. */
    private static final long RELAY_TIMEOUT_MILLIS = 700;
    /** Interval at which an earlier choice is tried again, in milliseconds: about the time of a restart. */
    private static final long PREFERRED_RETRY_MILLIS = 5_000;
    /** Time after its last message for which a daemon is sent sums, in milliseconds. */
    private static final long SENDER_TIMEOUT_MILLIS = 1_200;
    /** Relays of each failure domain that are told the sums: daemons may disagree on which one is up. */
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
     * Creates the choice of a daemon that knows no others yet.
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
     * Takes the list of daemons. It may hold daemons that are gone.
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
     * Tells whether the daemon sends its reports to all others.
     *
     * @return true while there are few
     */
    public boolean mesh() {
        return peers.size() <= MAX_MESH_PEERS;
    }

    /**
     * Returns the relays to which a report goes now: the present one, and at times an earlier choice that may be back.
     *
     * @param nowMillis present steady time
     * @return relays without this daemon; empty while it is its own relay
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
     * Records that a relay has sent sums to this daemon.
     *
     * @param relay the relay
     * @param nowMillis present steady time
     */
    public void recordOwnRelay(DaemonId relay, long nowMillis) {
        int rank = candidates.indexOf(relay);
        if (rank >= 0 && rank <= currentIndex) {
            currentIndex = rank;
            relayLastMessageMillis = nowMillis;
        }
    }

    /**
     * Records that a daemon reported to this one, which makes this one its relay.
     *
     * @param daemon the daemon
     * @param nowMillis present steady time
     */
    public void recordReporter(DaemonId daemon, long nowMillis) {
        reporters.put(daemon, nowMillis);
    }

    /**
     * Returns the daemons that report to this one.
     *
     * @param nowMillis present steady time
     * @return those heard lately
     */
    public Set<DaemonId> reporters(long nowMillis) {
        reporters.values().removeIf(heard -> nowMillis - heard > SENDER_TIMEOUT_MILLIS);
        return Set.copyOf(reporters.keySet());
    }

    /**
     * Tells whether this daemon sends sums to the relays of other daemons.
     *
     * @param nowMillis present steady time
     * @return true while others report to it, or while it is its own relay
     */
    public boolean relaying(long nowMillis) {
        return candidates.get(currentIndex).equals(self)
                || !reporters(nowMillis).isEmpty();
    }

    /**
     * Records that another relay has sent the sums of its daemons.
     *
     * @param relay the relay
     * @param nowMillis present steady time
     */
    public void recordPeerRelay(DaemonId relay, long nowMillis) {
        otherRelays.put(relay, nowMillis);
    }

    /**
     * Returns the relays that this daemon sends its sums to while it is a relay.
     *
     * @param nowMillis present steady time
     * @return the first choices of each failure domain, and relays heard lately
     */
    public Set<DaemonId> aggregateRecipients(long nowMillis) {
        otherRelays.values().removeIf(heard -> nowMillis - heard > SENDER_TIMEOUT_MILLIS);
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
