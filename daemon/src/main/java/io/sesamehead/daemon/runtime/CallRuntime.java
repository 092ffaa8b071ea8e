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
public final class CallRuntime {
    private final InFlightTable inFlight = new InFlightTable();
    private final InFlightAttempts attempts = new InFlightAttempts();
    private final SuspectTracker suspects = new SuspectTracker(SuspectTracker.DEFAULT_QUARANTINE_MILLIS);
    private final Admission admission;
    private final ServingGroups groups;
    private final ServiceStatusTracker serviceStates;
    private final ServiceLevelRegistry levels;
    private final CallService service;
    private final ForwardedCallRunner forwarded;
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
    public record Dependencies(
            DaemonSettings settings,
            DaemonTables tables,
            PlatformClient platform,
            EngineClient engines,
            ServiceClient services,
            Supplier<WriteToken> tokens,
            RemoteCalls remote,
            CrashNotifier crashes,
            MetricRegistry metrics,
            LongSupplier nowMillis,
            LongSupplier epochMillis) {}

    /**
     * Wires the parts.
     *
     * @param dependencies what the calls need
     */
    public CallRuntime(Dependencies dependencies) {
        DaemonSettings.Limits limits = dependencies.settings().limits();
        DaemonTables tables = dependencies.tables();
        this.nowMillis = dependencies.nowMillis();
        this.admission = new Admission(new AdmissionLimits(limits.concurrentCalls(), limits.queueLength()));
        StragglerDetector stragglers = new StragglerDetector();
        Router router = new Router(stragglers, new SplittableRandom());
        this.groups = new ServingGroups(
                tables, router, dependencies.settings().evidence().maxAge().toMillis());
        this.serviceStates = new ServiceStatusTracker(tables.config(), dependencies.services());
        this.levels = new ServiceLevelRegistry(dependencies.metrics());
        RetryBudgets budgets = new RetryBudgets();
        ClaimPlanner claimPlanner =
                new ClaimPlanner(tables.self().daemon(), tables.self().incarnation());
        ClaimExecutor claimExecutor =
                new ClaimExecutor(claimPlanner, dependencies.platform(), dependencies.tokens(), nowMillis, dependencies.epochMillis());
        CompletionRunner completions = new CompletionRunner(
                groups,
                dependencies.engines(),
                dependencies.remote(),
                new Routing(router, stragglers),
                suspects,
                new CrashDetector(dependencies.engines(), suspects, dependencies.crashes(), nowMillis),
                budgets,
                attempts,
                new EngineRequestIds(tables.self().incarnation()),
                nowMillis);
        PlainCallRunner plainCalls = new PlainCallRunner(
                dependencies.services(), serviceStates, router, budgets, attempts, tables.failureDomain(), nowMillis);
        AdmissionGate gate = new AdmissionGate(admission, nowMillis);
        this.forwarded = new ForwardedCallRunner(completions, gate, nowMillis);
        this.service = new CallService(
                new ServiceCatalog(tables.config(), admission),
                inFlight,
                gate,
                new KeyedCallRunner(claimExecutor, dependencies.services(), dependencies.tokens(), dependencies.epochMillis()),
                completions,
                plainCalls,
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
    public ForwardedCallRunner forwarded() {
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
    public ServiceLevelRegistry levels() {
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
        return !attempts.isEmpty();
    }

    /** Moves work in flight away from groups that are no longer complete. To be called when evidence changes. */
    public void moveCallsOffBrokenGroups() {
        long now = nowMillis.getAsLong();
        attempts.endBroken(group -> groups.isBroken(group, now));
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
        attempts.endAll();
    }
}
