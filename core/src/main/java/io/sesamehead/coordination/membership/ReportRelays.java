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
public final class ReportRelays {
    /** Other daemons up to which all report to all: a daemon then handles some 320 datagrams a second. */
    public static final int MESH_PEERS = 24;
    /** Silence after which a relay is left, in milliseconds: three of its intervals. */
    private static final long SILENCE_MILLIS = 700;
    /** Interval at which an earlier choice is tried again, in milliseconds: about the time of a restart. */
    private static final long PROBE_MILLIS = 5_000;
    /** Time after its last message for which a daemon is sent sums, in milliseconds. */
    private static final long HEARD_MILLIS = 1_200;
    /** Relays of each failure domain that are told the sums: daemons may disagree on which one is up. */
    private static final int RELAYS_TOLD = 2;

    private final DaemonId self;
    private final FailureDomain here;
    private final Map<DaemonId, Long> leaves = new HashMap<>();
    private final Map<DaemonId, Long> otherRelays = new HashMap<>();
    private ImmutableMap<DaemonId, FailureDomain> peers = ImmutableMap.of();
    private ImmutableList<DaemonId> candidates;
    private ImmutableList<DaemonId> told = ImmutableList.of();
    private int current;
    private long heardAt = Long.MIN_VALUE;
    private long probedAt;

    /**
     * Creates the choice of a daemon that knows no others yet.
     *
     * @param self the daemon
     * @param here its failure domain
     */
    public ReportRelays(DaemonId self, FailureDomain here) {
        this.self = self;
        this.here = here;
        this.candidates = ImmutableList.of(self);
    }

    /**
     * Takes the list of daemons. It may hold daemons that are gone.
     *
     * @param listed all other daemons and their failure domains
     */
    public void listed(Map<DaemonId, FailureDomain> listed) {
        if (peers.equals(listed)) {
            return;
        }
        peers = ImmutableMap.copyOf(listed);
        Set<DaemonId> ids = inDomain(here);
        ids.add(self);
        candidates = ranked(here, ids);
        current = 0;
        heardAt = Long.MIN_VALUE;
        told = relaysTold();
    }

    /**
     * Tells whether the daemon sends its reports to all others.
     *
     * @return true while there are few
     */
    public boolean mesh() {
        return peers.size() <= MESH_PEERS;
    }

    /**
     * Returns the relays to which a report goes now: the present one, and at times an earlier choice that may be back.
     *
     * @param nowMillis present steady time
     * @return relays without this daemon; empty while it is its own relay
     */
    public List<DaemonId> relays(long nowMillis) {
        if (heardAt == Long.MIN_VALUE || candidates.get(current).equals(self)) {
            heardAt = nowMillis;
        }
        if (nowMillis - heardAt > SILENCE_MILLIS) {
            current = (current + 1) % candidates.size();
            heardAt = nowMillis;
            probedAt = nowMillis;
        }
        List<DaemonId> chosen = new ArrayList<>();
        add(chosen, candidates.get(current));
        if (current > 0 && nowMillis - probedAt >= PROBE_MILLIS) {
            probedAt = nowMillis;
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
    public void heardRelay(DaemonId relay, long nowMillis) {
        int rank = candidates.indexOf(relay);
        if (rank >= 0 && rank <= current) {
            current = rank;
            heardAt = nowMillis;
        }
    }

    /**
     * Records that a daemon reported to this one, which makes this one its relay.
     *
     * @param daemon the daemon
     * @param nowMillis present steady time
     */
    public void heardLeaf(DaemonId daemon, long nowMillis) {
        leaves.put(daemon, nowMillis);
    }

    /**
     * Returns the daemons that report to this one.
     *
     * @param nowMillis present steady time
     * @return those heard lately
     */
    public Set<DaemonId> leaves(long nowMillis) {
        leaves.values().removeIf(heard -> nowMillis - heard > HEARD_MILLIS);
        return Set.copyOf(leaves.keySet());
    }

    /**
     * Tells whether this daemon sends sums to the relays of other daemons.
     *
     * @param nowMillis present steady time
     * @return true while others report to it, or while it is its own relay
     */
    public boolean relaying(long nowMillis) {
        return candidates.get(current).equals(self) || !leaves(nowMillis).isEmpty();
    }

    /**
     * Records that another relay has sent the sums of its daemons.
     *
     * @param relay the relay
     * @param nowMillis present steady time
     */
    public void heardSums(DaemonId relay, long nowMillis) {
        otherRelays.put(relay, nowMillis);
    }

    /**
     * Returns the relays that this daemon sends its sums to while it is a relay.
     *
     * @param nowMillis present steady time
     * @return the first choices of each failure domain, and relays heard lately
     */
    public Set<DaemonId> relaysToTell(long nowMillis) {
        otherRelays.values().removeIf(heard -> nowMillis - heard > HEARD_MILLIS);
        Set<DaemonId> all = new HashSet<>(told);
        all.addAll(otherRelays.keySet());
        return all;
    }

    private ImmutableList<DaemonId> relaysTold() {
        Set<FailureDomain> domains = new HashSet<>(peers.values());
        domains.add(here);
        ImmutableList.Builder<DaemonId> chosen = ImmutableList.builder();
        for (FailureDomain domain : domains) {
            List<DaemonId> ranked = domain.equals(here) ? candidates : ranked(domain, inDomain(domain));
            ranked.stream().limit(RELAYS_TOLD).filter(id -> !id.equals(self)).forEach(chosen::add);
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
        return Rendezvous.top("report:" + domain.value(), ids, ids.size());
    }

    private void add(List<DaemonId> chosen, DaemonId relay) {
        if (!relay.equals(self) && !chosen.contains(relay)) {
            chosen.add(relay);
        }
    }
}
