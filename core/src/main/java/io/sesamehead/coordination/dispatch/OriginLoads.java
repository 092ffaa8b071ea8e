package io.sesamehead.coordination.dispatch;

import io.sesamehead.state.FailureDomain;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Calls in flight of the other daemons by the failure domain that they come from, as reported. Not thread-safe: confined
 * to the event loop.
 */
public final class OriginLoads {
    /** Age after which a peer's report expires, in milliseconds: several consecutive lost datagrams. */
    private static final long REPORT_TTL_MILLIS = 1_200;
    /** Number of senders kept. The system is designed for 340 daemons. */
    private static final int MAX_SENDERS = 1_024;

    private final Map<String, PeerUsage> peers = new HashMap<>();

    private record PeerUsage(OriginUsage usage, long receivedAtMillis) {}

    /**
     * Replaces the previous report of a sender.
     *
     * @param sender a daemon, or a relay that sums up the reports of several daemons
     * @param usage calls in flight of the daemons that it covers
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void replaceReport(String sender, OriginUsage usage, long nowMillis) {
        if (peers.size() < MAX_SENDERS || peers.containsKey(sender)) {
            peers.put(sender, new PeerUsage(usage, nowMillis));
        }
    }

    /**
     * Removes the reports of selected senders.
     *
     * @param selected selects the senders whose reports are removed
     */
    public void removeReports(Predicate<String> selected) {
        peers.keySet().removeIf(selected);
    }

    /**
     * Removes expired reports.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void expire(long nowMillis) {
        peers.values().removeIf(peer -> isExpired(peer, nowMillis));
    }

    private static boolean isExpired(PeerUsage peer, long nowMillis) {
        return nowMillis - peer.receivedAtMillis() > REPORT_TTL_MILLIS;
    }

    /**
     * Returns a daemon's own usage together with that of selected senders.
     *
     * @param own the daemon's own usage
     * @param selected selects the senders to include
     * @return the sum
     */
    public OriginUsage aggregate(OriginUsage own, Predicate<String> selected) {
        OriginUsage sum = own;
        for (Map.Entry<String, PeerUsage> peer : peers.entrySet()) {
            if (selected.test(peer.getKey())) {
                sum = sum.plus(peer.getValue().usage());
            }
        }
        return sum;
    }

    /**
     * Returns whether all reports that have not expired state the origins of all daemons that they cover.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return false as well while no other daemon reports
     */
    public boolean complete(long nowMillis) {
        boolean any = false;
        for (PeerUsage peer : peers.values()) {
            if (!isExpired(peer, nowMillis)) {
                any = true;
                if (!peer.usage().complete()) {
                    return false;
                }
            }
        }
        return any;
    }

    /**
     * Returns the failure domains of the daemons that the reports include.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the failure domains
     */
    public Set<FailureDomain> failureDomains(long nowMillis) {
        Set<FailureDomain> domains = new HashSet<>();
        for (PeerUsage peer : peers.values()) {
            if (!isExpired(peer, nowMillis)) {
                peer.usage().inFlight().keySet().forEach(origin -> domains.add(origin.failureDomain()));
            }
        }
        return domains;
    }

    /**
     * Returns the reported calls in flight of the other daemons of a failure domain.
     *
     * @param failureDomain the failure domain that the calls come from
     * @param pool hash of the pool that they are for
     * @param nowMillis current monotonic time, in milliseconds
     * @return the number of calls, empty if no report includes a daemon of the failure domain
     */
    public OptionalInt inFlight(FailureDomain failureDomain, int pool, long nowMillis) {
        OriginUsage.Origin origin = new OriginUsage.Origin(failureDomain, pool);
        OriginUsage.Origin presence = new OriginUsage.Origin(failureDomain, 0);
        boolean known = false;
        int calls = 0;
        for (PeerUsage peer : peers.values()) {
            Map<OriginUsage.Origin, Integer> rows = peer.usage().inFlight();
            if (!isExpired(peer, nowMillis) && (rows.containsKey(origin) || rows.containsKey(presence))) {
                known = true;
                calls += rows.getOrDefault(origin, 0);
            }
        }
        return known ? OptionalInt.of(calls) : OptionalInt.empty();
    }
}
