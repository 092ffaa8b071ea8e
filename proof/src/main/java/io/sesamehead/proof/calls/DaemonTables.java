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

/** In-memory state of one daemon incarnation: the production tables and planners of the core module. */
final class DaemonTables {
    /**
     * Longer than the maximum call deadline, so that a stop that waits for the full grace period interrupts no call.
     */
    static final long GRACE_MILLIS = 3_500;

    /** The time to live is well below the duration of a {@code FREEZE_BEYOND_LEASE} fault. */
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
