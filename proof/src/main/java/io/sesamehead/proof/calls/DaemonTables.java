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
    static final LeaseSettings LEASE = new LeaseSettings(1_500, 100, 300);

    private static final AdmissionLimits LIMITS = new AdmissionLimits(4, 8);

    final Admission admission = new Admission(LIMITS);
    final InFlightTable inFlight = new InFlightTable();
    final AttemptTable attempts = new AttemptTable();
    final AttemptNumberAllocator attemptNumbers = new AttemptNumberAllocator();
    final ShutdownSequence shutdown = new ShutdownSequence(GRACE_MILLIS);
    final Router router;
    final ClaimPlanner orders;
    final LeaseHolder lease;
    private final Incarnation incarnation;
    private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
    private long tokens;

    DaemonTables(DaemonId daemon, Incarnation incarnation, RandomGenerator random) {
        this.incarnation = incarnation;
        this.router = new Router(new StragglerDetector(), random);
        this.orders = new ClaimPlanner(daemon, incarnation);
        this.lease = new LeaseHolder(daemon, incarnation, LEASE);
    }

    RetryBudget budget(ServiceName service) {
        return budgets.computeIfAbsent(service, ignored -> new RetryBudget());
    }

    WriteToken nextToken() {
        tokens++;
        return new WriteToken(incarnation, tokens);
    }
}
