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
public final class PlainCallRunner {
    private final ServiceClient services;
    private final ServiceStatusTracker states;
    private final Router router;
    private final RetryBudgets budgets;
    private final InFlightAttempts attempts;
    private final FailureDomain failureDomain;
    private final LongSupplier nowMillis;

    /**
     * End of a call.
     *
     * @param outcome the outcome
     * @param response the service's answer, when it arrived whole
     */
    record Result(Outcome outcome, Optional<UpstreamResult.Responded> response) {}

    /**
     * Creates a runner.
     *
     * @param services client of the services
     * @param states services that are leaving
     * @param router chooses among the addresses
     * @param budgets retry budgets
     * @param attempts attempts in flight
     * @param failureDomain failure domain of this daemon
     * @param nowMillis monotonic clock, in milliseconds
     */
    public PlainCallRunner(
            ServiceClient services,
            ServiceStatusTracker states,
            Router router,
            RetryBudgets budgets,
            InFlightAttempts attempts,
            FailureDomain failureDomain,
            LongSupplier nowMillis) {
        this.services = services;
        this.states = states;
        this.router = router;
        this.budgets = budgets;
        this.attempts = attempts;
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
        RequestLifecycle lifecycle = new RequestLifecycle(call.request(), repeatable, call.deadlineMillis());
        budgets.of(call.service()).recordCall(nowMillis.getAsLong());
        Set<UpstreamId> tried = new HashSet<>();
        while (true) {
            long now = nowMillis.getAsLong();
            if (now >= call.deadlineMillis()) {
                return new Result(
                        lifecycle.close(ErrorKind.DEADLINE_DURING_RUN, "the deadline passed"), Optional.empty());
            }
            Optional<UpstreamId> chosen = choose(spec, tried, now);
            if (chosen.isEmpty()) {
                return new Result(
                        lifecycle.close(ErrorKind.NO_GROUP, "no address of " + spec.name() + " takes calls"),
                        Optional.empty());
            }
            tried.add(chosen.get());
            Optional<Result> end;
            try {
                end = attempt(lifecycle, call, plain, chosen.get());
            } finally {
                router.finish(chosen.get(), nowMillis.getAsLong());
            }
            if (end.isPresent()) {
                return end.get();
            }
        }
    }

    private Optional<Result> attempt(
            RequestLifecycle lifecycle, CallContext call, PlainCall plain, UpstreamId upstream) {
        Optional<AttemptId> attempt = lifecycle.beginAttempt();
        if (attempt.isEmpty()) {
            return lifecycle.outcome().map(outcome -> new Result(outcome, Optional.empty()));
        }
        InFlightAttempts.Attempt handle = attempts.add(Optional.empty());
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
                    () -> !states.isLeaving(upstream.value()) && lifecycle.markSending(attempt.get()));
            return handleResult(lifecycle, call, attempt.get(), result);
        } finally {
            attempts.remove(handle);
        }
    }

    private Optional<Result> handleResult(
            RequestLifecycle lifecycle, CallContext call, AttemptId attempt, UpstreamResult result) {
        RetryBudget budget = budgets.of(call.service());
        return switch (result) {
            case UpstreamResult.Responded answered ->
                Optional.of(new Result(completeAttempt(lifecycle, call, attempt), Optional.of(answered)));
            case UpstreamResult.NotSent(String detail) ->
                nowMillis.getAsLong() < call.deadlineMillis()
                        ? endAttempt(lifecycle, attempt, new AttemptOutcome.Lost(detail), budgets.unlimited())
                        : close(lifecycle, ErrorKind.DEADLINE_DURING_RUN, detail);
            case UpstreamResult.Lost(String detail) ->
                endAttempt(lifecycle, attempt, new AttemptOutcome.Lost(detail), budget);
            case UpstreamResult.Refused(String detail) ->
                endAttempt(lifecycle, attempt, new AttemptOutcome.Refused(detail), budget);
            case UpstreamResult.Failed(int status, String detail) ->
                endAttempt(lifecycle, attempt, new AttemptOutcome.Failed(detail), budget);
            case UpstreamResult.Finished ignored -> throw new IllegalStateException("a plain call has no stream");
            case UpstreamResult.DeadlinePassed ignored ->
                close(lifecycle, ErrorKind.DEADLINE_DURING_RUN, "the deadline passed");
            case UpstreamResult.Cancelled ignored -> close(lifecycle, ErrorKind.SHUTTING_DOWN, "the daemon exits");
        };
    }

    private Outcome completeAttempt(RequestLifecycle lifecycle, CallContext call, AttemptId attempt) {
        lifecycle.endAttempt(
                attempt, new AttemptOutcome.Completed(), budgets.of(call.service()), nowMillis.getAsLong());
        return lifecycle.outcome().orElseThrow();
    }

    private static Optional<Result> close(RequestLifecycle lifecycle, ErrorKind kind, String detail) {
        return Optional.of(new Result(lifecycle.close(kind, detail), Optional.empty()));
    }

    private Optional<Result> endAttempt(
            RequestLifecycle lifecycle, AttemptId attempt, AttemptOutcome end, RetryBudget budget) {
        NextStep next = lifecycle.endAttempt(attempt, end, budget, nowMillis.getAsLong());
        return next instanceof NextStep.Finish(Outcome outcome)
                ? Optional.of(new Result(outcome, Optional.empty()))
                : Optional.empty();
    }

    /** Chooses among the untried addresses, first those of this failure domain; a second round starts when all failed. */
    private Optional<UpstreamId> choose(ServiceSpec.PlainService spec, Set<UpstreamId> tried, long now) {
        ImmutableSet<UpstreamId> local = usable(spec, true);
        ImmutableSet<UpstreamId> all = usable(spec, false);
        if (tried.containsAll(all)) {
            tried.clear();
        }
        ImmutableSet<UpstreamId> untriedLocal = Sets.difference(local, tried).immutableCopy();
        ImmutableSet<UpstreamId> candidates =
                untriedLocal.isEmpty() ? Sets.difference(all, tried).immutableCopy() : untriedLocal;
        return router.route(new RouteRequest(spec.name(), candidates, OptionalLong.empty()), now);
    }

    private ImmutableSet<UpstreamId> usable(ServiceSpec.PlainService spec, boolean localOnly) {
        return spec.addresses().stream()
                .filter(address -> !localOnly || address.failureDomain().equals(failureDomain))
                .filter(address -> !states.isLeaving(address.address()))
                .map(address -> new UpstreamId(address.address()))
                .collect(ImmutableSet.toImmutableSet());
    }
}
