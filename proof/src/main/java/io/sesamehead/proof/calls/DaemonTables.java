package io.sesamehead.proof.calls;

import io.sesamehead.coordination.admission.Admission;
import io.sesamehead.coordination.admission.AdmissionLimits;
import io.sesamehead.coordination.drain.ShutdownSequence;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.coordination.lease.LeaseSettings;
import io.sesamehead.coordination.order.ClaimPlanner;
import io.sesamehead.coordination.request.AttemptNumberAllocator;
import io.sesamehead.coordination.request.AttemptTable;
import io.sesamehead.coordination.request.InFlightTable;
import io.sesamehead.coordination.request.RetryBudget;
import io.sesamehead.coordination.routing.Router;
import io.sesamehead.coordination.routing.StragglerDetector;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.WriteToken;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** What one incarnation of a daemon keeps in memory: the tables and deciders of core. */
final class DaemonTables {
    /** Above the longest deadline, so that a stop at full length interrupts nothing. */
    static final long GRACE_MILLIS = 3_500;

    /** A time to live well below the long freezes. */
    static final LeaseSettings LEASE_SETTINGS = new LeaseSettings(1_500, 100, 300);

    private static final AdmissionLimits ADMISSION_LIMITS = new AdmissionLimits(4, 8);

    final Admission admission = new Admission(ADMISSION_LIMITS);
    final InFlightTable inFlight = new InFlightTable();
    final AttemptTable attempts = new AttemptTable();
    final AttemptNumberAllocator attemptNumbers = new AttemptNumberAllocator();
    final ShutdownSequence shutdownSequence = new ShutdownSequence(GRACE_MILLIS);
    final Router router;
    final ClaimPlanner claimPlanner;
    final LeaseHolder leaseHolder;
    private final Incarnation incarnation;
    private final Map<ServiceName, RetryBudget> retryBudgets = new HashMap<>();
    private long issuedTokens;

    DaemonTables(DaemonId daemon, Incarnation incarnation, RandomGenerator random) {
        this.incarnation = incarnation;
        this.router = new Router(new StragglerDetector(), random);
        this.claimPlanner = new ClaimPlanner(daemon, incarnation);
        this.leaseHolder = new LeaseHolder(daemon, incarnation, LEASE_SETTINGS);
    }

    RetryBudget retryBudget(ServiceName service) {
        return retryBudgets.computeIfAbsent(service, ignored -> new RetryBudget());
    }

    WriteToken nextToken() {
        issuedTokens++;
        return new WriteToken(incarnation, issuedTokens);
    }
}
