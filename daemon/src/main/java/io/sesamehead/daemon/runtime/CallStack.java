package io.sesamehead.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import io.sesamehead.coordination.admission.Admission;
import io.sesamehead.coordination.admission.AdmissionLimits;
import io.sesamehead.coordination.order.ClaimPlanner;
import io.sesamehead.coordination.request.InFlightTable;
import io.sesamehead.coordination.request.SuspectTracker;
import io.sesamehead.coordination.routing.Router;
import io.sesamehead.coordination.routing.StragglerDetector;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.EngineClient;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.ServiceClient;
import io.sesamehead.state.WriteToken;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Everything that runs the calls of a daemon, and the points at which the rest of the daemon acts on it. */
public final class CallStack {
    private final InFlightTable inFlight = new InFlightTable();
    private final LiveAttempts live = new LiveAttempts();
    private final SuspectTracker suspects = new SuspectTracker(SuspectTracker.DEFAULT_QUARANTINE_MILLIS);
    private final Admission admission;
    private final ServingGroups groups;
    private final ServiceStatusTracker serviceStates;
    private final ServiceLevels levels;
    private final CallService service;
    private final ForwardedCalls forwarded;
    private final LongSupplier nowMillis;

    /**
     * What the calls need from the rest of the daemon.
     *
     * @param settings settings of the daemon
     * @param tables shared tables
     * @param platform client of the object API
     * @param engines client of the engines
     * @param services client of the plain services
     * @param tokens draws the tokens of this process's writes
     * @param remote other failure domains
     * @param crashes tells the peers of crashes
     * @param metrics registry of all metrics
     * @param nowMillis monotonic clock, in milliseconds
     * @param epochMillis wall clock, in milliseconds since 1970
     */
    public record Surroundings(
            DaemonSettings settings,
            DaemonTables tables,
            PlatformClient platform,
            EngineClient engines,
            ServiceClient services,
            Supplier<WriteToken> tokens,
            RemoteCalls remote,
            CrashNotices crashes,
            MetricRegistry metrics,
            LongSupplier nowMillis,
            LongSupplier epochMillis) {}

    /**
     * Wires the parts.
     *
     * @param around what the calls need
     */
    public CallStack(Surroundings around) {
        DaemonSettings.Limits limits = around.settings().limits();
        DaemonTables tables = around.tables();
        this.nowMillis = around.nowMillis();
        this.admission = new Admission(new AdmissionLimits(limits.concurrentCalls(), limits.queueLength()));
        StragglerDetector stragglers = new StragglerDetector();
        Router router = new Router(stragglers, new SplittableRandom());
        this.groups = new ServingGroups(
                tables, router, around.settings().evidence().maxAge().toMillis());
        this.serviceStates = new ServiceStatusTracker(tables.config(), around.services());
        this.levels = new ServiceLevels(around.metrics());
        RetryBudgets budgets = new RetryBudgets();
        ClaimPlanner ledger =
                new ClaimPlanner(tables.self().daemon(), tables.self().incarnation());
        OrderClaims claims =
                new OrderClaims(ledger, around.platform(), around.tokens(), nowMillis, around.epochMillis());
        CompletionRunner completions = new CompletionRunner(
                groups,
                around.engines(),
                around.remote(),
                new Routing(router, stragglers),
                suspects,
                new CrashDetector(around.engines(), suspects, around.crashes(), nowMillis),
                budgets,
                live,
                new EngineRequestIds(tables.self().incarnation()),
                nowMillis);
        PlainRunner plains = new PlainRunner(
                around.services(), serviceStates, router, budgets, live, tables.failureDomain(), nowMillis);
        AdmissionGate gate = new AdmissionGate(admission, nowMillis);
        this.forwarded = new ForwardedCalls(completions, gate, nowMillis);
        this.service = new CallService(
                new Catalogue(tables.config(), admission),
                inFlight,
                gate,
                new KeyedCalls(claims, around.services(), around.tokens(), around.epochMillis()),
                completions,
                plains,
                levels,
                nowMillis);
    }

    /**
     * Returns what runs the calls.
     *
     * @return the service
     */
    public CallService service() {
        return service;
    }

    /**
     * Returns what runs the calls of other failure domains.
     *
     * @return the runner
     */
    public ForwardedCalls forwarded() {
        return forwarded;
    }

    /**
     * Returns the requests that crash upstreams, to learn from peers.
     *
     * @return the suspects
     */
    public SuspectTracker suspects() {
        return suspects;
    }

    /**
     * Returns the groups that may serve.
     *
     * @return the groups
     */
    public ServingGroups groups() {
        return groups;
    }

    /**
     * Returns the service-level burn.
     *
     * @return the counters
     */
    public ServiceLevels levels() {
        return levels;
    }

    /**
     * Returns how many calls are open, with those that other failure domains forwarded.
     *
     * @return the number of calls
     */
    public int openCalls() {
        return Math.max(inFlight.size(), admission.running() + admission.waiting());
    }

    /**
     * Returns how many calls hold a slot of admission.
     *
     * @return the number of calls
     */
    public int runningCalls() {
        return admission.running();
    }

    /**
     * Tells whether an attempt is in flight, so that there is work to move.
     *
     * @return true when there is
     */
    public boolean hasAttempts() {
        return !live.isEmpty();
    }

    /** Moves work in flight away from groups that are no longer complete. To be called when evidence changes. */
    public void moveBrokenCalls() {
        long now = nowMillis.getAsLong();
        live.endBroken(group -> groups.isBroken(group, now));
    }

    /** Asks the plain services whether they are leaving; blocks. */
    public void refreshServices() {
        serviceStates.refresh();
    }

    /** Refuses new calls; open ones go on. */
    public void stopAccepting() {
        inFlight.stop();
        admission.close();
    }

    /** Ends all open calls with their true outcome. */
    public void endCalls() {
        live.endAll();
    }
}
