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

/** Wires the components that run the calls of a daemon, and exposes them to the rest of the daemon. */
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
     * Components of the rest of the daemon that calls depend on.
     *
     * @param settings settings of the daemon
     * @param tables tables shared by all components of the daemon
     * @param platform client of the platform's object API
     * @param engines client of the engines
     * @param services client of the plain services
     * @param tokens supplies a new write token for each store write of this process
     * @param remote runs completions in other failure domains
     * @param crashes reports crashes to peers
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
     * Creates the components.
     *
     * @param dependencies components that calls depend on
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
        ClaimExecutor claimExecutor = new ClaimExecutor(
                claimPlanner, dependencies.platform(), dependencies.tokens(), nowMillis, dependencies.epochMillis());
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
                new KeyedCallRunner(
                        claimExecutor, dependencies.services(), dependencies.tokens(), dependencies.epochMillis()),
                completions,
                plainCalls,
                levels,
                nowMillis);
    }

    /**
     * Returns the service that runs calls of callers.
     *
     * @return the call service
     */
    public CallService service() {
        return service;
    }

    /**
     * Returns the runner of calls that other failure domains forwarded.
     *
     * @return the runner
     */
    public ForwardedCallRunner forwarded() {
        return forwarded;
    }

    /**
     * Returns the tracker of requests that crash upstreams; crash counts received from peers are merged into it.
     *
     * @return the suspect tracker
     */
    public SuspectTracker suspects() {
        return suspects;
    }

    /**
     * Returns the groups that may receive calls.
     *
     * @return the groups
     */
    public ServingGroups groups() {
        return groups;
    }

    /**
     * Returns the service-level metrics.
     *
     * @return the metrics of all services and accounts
     */
    public ServiceLevelRegistry levels() {
        return levels;
    }

    /**
     * Returns the number of open calls, including calls forwarded by other failure domains.
     *
     * @return the number of calls
     */
    public int openCalls() {
        return Math.max(inFlight.size(), admission.running() + admission.waiting());
    }

    /**
     * Returns the number of calls that hold an admission slot.
     *
     * @return the number of calls
     */
    public int runningCalls() {
        return admission.running();
    }

    /**
     * Returns whether any attempt is in flight that might have to move to another group.
     *
     * @return true if at least one attempt is in flight
     */
    public boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** Moves calls in flight off groups that are no longer complete. Must be called when evidence changes. */
    public void moveCallsOffBrokenGroups() {
        long now = nowMillis.getAsLong();
        attempts.endBroken(group -> groups.isBroken(group, now));
    }

    /** Queries the plain services for whether they are leaving; blocks. */
    public void refreshServices() {
        serviceStates.refresh();
    }

    /** Refuses new calls; open calls continue. */
    public void stopAccepting() {
        inFlight.stop();
        admission.close();
    }

    /** Ends all open calls with their actual outcome. */
    public void endCalls() {
        attempts.endAll();
    }
}
