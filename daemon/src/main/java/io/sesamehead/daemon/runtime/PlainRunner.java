package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.sesamehead.coordination.request.AttemptOutcome;
import io.sesamehead.coordination.request.NextStep;
import io.sesamehead.coordination.request.RequestLifecycle;
import io.sesamehead.coordination.request.RetryBudget;
import io.sesamehead.coordination.routing.RouteRequest;
import io.sesamehead.coordination.routing.Router;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.daemon.transport.CallContext;
import io.sesamehead.daemon.transport.PlainCall;
import io.sesamehead.daemon.transport.ServiceClient;
import io.sesamehead.daemon.transport.ServiceRequest;
import io.sesamehead.daemon.transport.UpstreamResult;
import io.sesamehead.state.AttemptId;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Outcome;
import io.sesamehead.state.ServiceSpec;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Runs the attempts of calls to plain services, at an address of this failure domain where there is one. Holds no lock
 * during I/O.
 */
public final class PlainRunner {
    private final ServiceClient services;
    private final ServiceStatusTracker states;
    private final Router router;
    private final RetryBudgets budgets;
    private final LiveAttempts live;
    private final FailureDomain failureDomain;
    private final LongSupplier nowMillis;

    /**
     * End of a call.
     *
     * @param outcome the outcome
     * @param answer the service's answer, when it arrived whole
     */
    record Result(Outcome outcome, Optional<UpstreamResult.Responded> answer) {}

    /**
     * Creates a runner.
     *
     * @param services client of the services
     * @param states services that are leaving
     * @param router chooses among the addresses
     * @param budgets retry budgets
     * @param live attempts in flight
     * @param failureDomain failure domain of this daemon
     * @param nowMillis monotonic clock, in milliseconds
     */
    public PlainRunner(
            ServiceClient services,
            ServiceStatusTracker states,
            Router router,
            RetryBudgets budgets,
            LiveAttempts live,
            FailureDomain failureDomain,
            LongSupplier nowMillis) {
        this.services = services;
        this.states = states;
        this.router = router;
        this.budgets = budgets;
        this.live = live;
        this.failureDomain = failureDomain;
        this.nowMillis = nowMillis;
    }

    /**
     * Runs a call to its end.
     *
     * @param call the call
     * @param plain method, path and body
     * @param spec the service
     * @param repeatable true when a second execution does no harm
     * @return the end of the call
     */
    Result run(CallContext call, PlainCall plain, ServiceSpec.PlainService spec, boolean repeatable) {
        RequestLifecycle run = new RequestLifecycle(call.request(), repeatable, call.deadlineMillis());
        budgets.of(call.service()).recordCall(nowMillis.getAsLong());
        Set<UpstreamId> tried = new HashSet<>();
        while (true) {
            long now = nowMillis.getAsLong();
            if (now >= call.deadlineMillis()) {
                return new Result(run.close(ErrorKind.DEADLINE_DURING_RUN, "the deadline passed"), Optional.empty());
            }
            Optional<UpstreamId> chosen = choose(spec, tried, now);
            if (chosen.isEmpty()) {
                return new Result(
                        run.close(ErrorKind.NO_GROUP, "no address of " + spec.name() + " takes calls"),
                        Optional.empty());
            }
            tried.add(chosen.get());
            Optional<Result> end;
            try {
                end = attempt(run, call, plain, chosen.get());
            } finally {
                router.finish(chosen.get(), nowMillis.getAsLong());
            }
            if (end.isPresent()) {
                return end.get();
            }
        }
    }

    private Optional<Result> attempt(RequestLifecycle run, CallContext call, PlainCall plain, UpstreamId upstream) {
        Optional<AttemptId> attempt = run.beginAttempt();
        if (attempt.isEmpty()) {
            return run.outcome().map(outcome -> new Result(outcome, Optional.empty()));
        }
        LiveAttempts.Live handle = live.add(Optional.empty());
        try {
            ServiceRequest request = new ServiceRequest(
                    plain.method(),
                    plain.path(),
                    plain.contentType(),
                    plain.body(),
                    call.request(),
                    call.account(),
                    call.key());
            Duration remaining = Duration.ofMillis(Math.max(1, call.deadlineMillis() - nowMillis.getAsLong()));
            UpstreamResult result = services.call(
                    upstream.value(),
                    request,
                    remaining,
                    handle.cancellation(),
                    () -> !states.isLeaving(upstream.value()) && run.markSending(attempt.get()));
            return after(run, call, attempt.get(), result);
        } finally {
            live.remove(handle);
        }
    }

    private Optional<Result> after(RequestLifecycle run, CallContext call, AttemptId attempt, UpstreamResult result) {
        RetryBudget budget = budgets.of(call.service());
        return switch (result) {
            case UpstreamResult.Responded answered ->
                Optional.of(new Result(completed(run, call, attempt), Optional.of(answered)));
            case UpstreamResult.NotSent(String detail) ->
                nowMillis.getAsLong() < call.deadlineMillis()
                        ? ended(run, attempt, new AttemptOutcome.Lost(detail), budgets.unlimited())
                        : closed(run, ErrorKind.DEADLINE_DURING_RUN, detail);
            case UpstreamResult.Lost(String detail) -> ended(run, attempt, new AttemptOutcome.Lost(detail), budget);
            case UpstreamResult.Refused(String detail) -> ended(run, attempt, new AttemptOutcome.Refused(detail), budget);
            case UpstreamResult.Failed(int status, String detail) ->
                ended(run, attempt, new AttemptOutcome.Failed(detail), budget);
            case UpstreamResult.Finished ignored -> throw new IllegalStateException("a plain call has no stream");
            case UpstreamResult.DeadlinePassed ignored ->
                closed(run, ErrorKind.DEADLINE_DURING_RUN, "the deadline passed");
            case UpstreamResult.Cancelled ignored -> closed(run, ErrorKind.SHUTTING_DOWN, "the daemon exits");
        };
    }

    private Outcome completed(RequestLifecycle run, CallContext call, AttemptId attempt) {
        run.endAttempt(attempt, new AttemptOutcome.Completed(), budgets.of(call.service()), nowMillis.getAsLong());
        return run.outcome().orElseThrow();
    }

    private static Optional<Result> closed(RequestLifecycle run, ErrorKind kind, String detail) {
        return Optional.of(new Result(run.close(kind, detail), Optional.empty()));
    }

    private Optional<Result> ended(RequestLifecycle run, AttemptId attempt, AttemptOutcome end, RetryBudget budget) {
        NextStep next = run.endAttempt(attempt, end, budget, nowMillis.getAsLong());
        return next instanceof NextStep.Finish(Outcome outcome)
                ? Optional.of(new Result(outcome, Optional.empty()))
                : Optional.empty();
    }

    /** Chooses among the untried addresses, first those of this failure domain; a second round starts when all failed. */
    private Optional<UpstreamId> choose(ServiceSpec.PlainService spec, Set<UpstreamId> tried, long now) {
        ImmutableSet<UpstreamId> near = usable(spec, true);
        ImmutableSet<UpstreamId> all = usable(spec, false);
        if (tried.containsAll(all)) {
            tried.clear();
        }
        ImmutableSet<UpstreamId> untriedNear = Sets.difference(near, tried).immutableCopy();
        ImmutableSet<UpstreamId> candidates =
                untriedNear.isEmpty() ? Sets.difference(all, tried).immutableCopy() : untriedNear;
        return router.route(new RouteRequest(spec.name(), candidates, OptionalLong.empty()), now);
    }

    private ImmutableSet<UpstreamId> usable(ServiceSpec.PlainService spec, boolean nearOnly) {
        return spec.addresses().stream()
                .filter(address -> !nearOnly || address.failureDomain().equals(failureDomain))
                .filter(address -> !states.isLeaving(address.address()))
                .map(address -> new UpstreamId(address.address()))
                .collect(ImmutableSet.toImmutableSet());
    }
}
