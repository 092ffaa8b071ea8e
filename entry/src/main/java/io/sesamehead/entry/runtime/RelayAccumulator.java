package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.entry.protocol.ReportCodec;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Collects the refused calls and the lease holder that a relay has received since its last sums and passes on once.
 * Data from other relays is passed on only to the daemons that report to this relay, so that it does not circulate.
 */
final class RelayAccumulator {
    private final Map<String, Integer> localRefusals = new HashMap<>();
    private final Map<String, Integer> remoteRefusals = new HashMap<>();
    private Optional<Lease> localLease = Optional.empty();
    private Optional<Lease> remoteLease = Optional.empty();

    /**
     * Adds the data of a report.
     *
     * @param report the report
     * @param local whether it comes from a daemon that reports to this relay, rather than from another relay
     */
    void add(DaemonReport report, boolean local) {
        addRefusals(ReportCodec.decodeRefusals(report), local);
        Optional<Lease> held = ReportCodec.decodeLease(report);
        if (held.isEmpty()) {
            return;
        }
        if (local) {
            localLease = held;
        } else {
            remoteLease = held;
        }
    }

    void addRefusals(Map<String, Integer> counts, boolean local) {
        Map<String, Integer> sums = local ? localRefusals : remoteRefusals;
        counts.forEach((model, count) -> sums.merge(model, count, Integer::sum));
    }

    /** Returns the number of refused calls by model, including those from other relays if requested. */
    Map<String, Integer> refusals(boolean includeOtherRelays) {
        Map<String, Integer> sums = new HashMap<>(localRefusals);
        if (includeOtherRelays) {
            remoteRefusals.forEach((model, count) -> sums.merge(model, count, Integer::sum));
        }
        return sums;
    }

    /** Returns the lease that its holder reported, including a lease reported by other relays if requested. */
    Optional<Lease> lease(boolean includeOtherRelays) {
        return localLease.isPresent() || !includeOtherRelays ? localLease : remoteLease;
    }

    void clear() {
        localRefusals.clear();
        remoteRefusals.clear();
        localLease = Optional.empty();
        remoteLease = Optional.empty();
    }
}
