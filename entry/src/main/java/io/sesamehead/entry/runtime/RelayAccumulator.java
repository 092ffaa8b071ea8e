package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.entry.protocol.ReportCodec;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a relay has heard since its last sums and passes on once. News of other relays goes to this relay's own daemons
 * only, so that none goes round in circles.
 */
final class RelayAccumulator {
    private final Map<String, Integer> refusedHere = new HashMap<>();
    private final Map<String, Integer> refusedElsewhere = new HashMap<>();
    private Optional<Lease> leaseHere = Optional.empty();
    private Optional<Lease> leaseElsewhere = Optional.empty();

    /**
     * Takes a report.
     *
     * @param report the report
     * @param here whether it comes from a daemon that reports to this relay, rather than from another relay
     */
    void add(DaemonReport report, boolean here) {
        Map<String, Integer> counts = new HashMap<>();
        report.getModelsList().forEach(load -> counts.merge(load.getModel(), load.getRefused(), Integer::sum));
        refused(counts, here);
        Optional<Lease> held = ReportCodec.decodeLease(report);
        if (held.isEmpty()) {
            return;
        }
        if (here) {
            leaseHere = held;
        } else {
            leaseElsewhere = held;
        }
    }

    void refused(Map<String, Integer> counts, boolean here) {
        Map<String, Integer> sums = here ? refusedHere : refusedElsewhere;
        counts.forEach((model, count) -> sums.merge(model, count, Integer::sum));
    }

    /** Returns refused calls by model, with those of other relays if asked for. */
    Map<String, Integer> refused(boolean withOtherRelays) {
        Map<String, Integer> sums = new HashMap<>(refusedHere);
        if (withOtherRelays) {
            refusedElsewhere.forEach((model, count) -> sums.merge(model, count, Integer::sum));
        }
        return sums;
    }

    /** Returns the lease that its holder was heard to hold, with those heard of from other relays if asked for. */
    Optional<Lease> lease(boolean withOtherRelays) {
        return leaseHere.isPresent() || !withOtherRelays ? leaseHere : leaseElsewhere;
    }

    void clear() {
        refusedHere.clear();
        refusedElsewhere.clear();
        leaseHere = Optional.empty();
        leaseElsewhere = Optional.empty();
    }
}
