package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.request.AttemptOutcome;
import io.sesamehead.coordination.request.NextStep;
import io.sesamehead.coordination.request.RetryBudget;
import io.sesamehead.coordination.request.SuspectDecision;
import io.sesamehead.coordination.request.SuspectTracker;
import io.sesamehead.coordination.routing.RouteRequest;
import io.sesamehead.coordination.routing.Router;
import io.sesamehead.coordination.routing.StragglerDetector;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.daemon.protocol.CompletionRequest;
import io.sesamehead.daemon.runtime.ServingGroups.ServingGroup;
import io.sesamehead.daemon.transport.EngineClient;
import io.sesamehead.daemon.transport.UpstreamResult;
import io.sesamehead.state.AttemptId;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Outcome;
import io.sesamehead.state.RequestId;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Runs the attempts of completions: on a group of this failure domain, or in another one when none may serve here. An
 * interrupted stream resumes after its last delivered token. Holds no lock during I/O.
 */
public final class CompletionRunner {
    /** Wait before the tables are asked again, when a started stream has no group to resume on. */
    private static final long GROUP_POLL_MILLIS = 50;

    /** A broken group is usually replaced or repaired within this time; later the caller is told to come back. */
    private static final long RESUME_WAIT_MILLIS = 5_000;

    private static final Duration STATUS_TIMEOUT = Duration.ofMillis(300);

    private final ServingGroups groups;
    private final EngineClient engines;
    private final RemoteCalls remote;
    private final Router router;
    private final StragglerDetector stragglers;
    private final SuspectTracker suspects;
    private final CrashDetector crashes;
    private final RetryBudgets budgets;
    private final InFlightAttempts attempts;
    private final EngineRequestIds engineRequestIds;
    private final LongSupplier nowMillis;

    /**
     * Creates a runner.
     *
     * @param groups the groups that may serve
     * @param engines client of the engines
     * @param remote other failure domains
     * @param routing router and straggler detector
     * @param suspects requests that crash upstreams
     * @param crashes finds engines that ended
     * @param budgets retry budgets
     * @param attempts attempts in flight
     * @param engineRequestIds names of attempts towards engines
     * @param nowMillis monotonic clock, in milliseconds
     */
    CompletionRunner(
            ServingGroups groups,
            EngineClient engines,
            RemoteCalls remote,
            Routing routing,
            SuspectTracker suspects,
            CrashDetector crashes,
            RetryBudgets budgets,
            InFlightAttempts attempts,
            EngineRequestIds engineRequestIds,
            LongSupplier nowMillis) {
        this.groups = groups;
        this.engines = engines;
        this.remote = remote;
        this.router = routing.router();
        this.stragglers = routing.stragglers();
        this.suspects = suspects;
        this.crashes = crashes;
        this.budgets = budgets;
        this.attempts = attempts;
        this.engineRequestIds = engineRequestIds;
        this.nowMillis = nowMillis;
    }

    /**
     * Runs a completion to its end.
     *
     * @param task the completion
     * @return its outcome
     */
    Outcome run(CompletionTask task) {
        budgets.of(task.service()).recordCall(nowMillis.getAsLong());
        Optional<Outcome> end = Optional.empty();
        while (end.isEmpty()) {
            end = runStep(task);
        }
        return end.get();
    }

    /** Makes one attempt or one wait; returns the outcome once the request has ended. */
    private Optional<Outcome> runStep(CompletionTask task) {
        long now = nowMillis.getAsLong();
        if (now >= task.deadlineMillis()) {
            return Optional.of(task.lifecycle().close(ErrorKind.DEADLINE_DURING_RUN, "the deadline passed"));
        }
        ImmutableMap<UpstreamId, ServingGroup> serving = groups.serving(task.service(), now);
        ImmutableSet<UpstreamId> candidates = task.untried(serving.keySet());
        Optional<UpstreamId> chosen =
                router.route(new RouteRequest(task.service(), candidates, Router.prefixHash(task.prompt())), now);
        if (chosen.isPresent()) {
            try {
                return attemptOnGroup(task, chosen.get(), serving.get(chosen.get()));
            } finally {
                router.finish(chosen.get(), nowMillis.getAsLong());
            }
        }
        Optional<FailureDomain> domain =
                task.mayForward() ? remote.choose(task.service(), task.triedDomains()) : Optional.empty();
        return domain.isPresent() ? attemptInOtherDomain(task, domain.get()) : handleNoGroup(task, now);
    }

    private Optional<Outcome> attemptOnGroup(CompletionTask task, UpstreamId upstream, ServingGroup serving) {
        AttemptId expected = task.nextAttempt();
        long now = nowMillis.getAsLong();
        SuspectDecision decision = suspects.tryBegin(
                expected, task.fingerprint(), upstream, groups.suspectShare(task.service(), now), now);
        switch (decision) {
            case SuspectDecision.Run ignored -> {}
            case SuspectDecision.ChooseAnother ignored -> {
                task.markTried(upstream);
                return Optional.empty();
            }
            case SuspectDecision.Wait ignored -> {
                pause(GROUP_POLL_MILLIS);
                return Optional.empty();
            }
            case SuspectDecision.Quarantined(long remainingMillis) -> {
                task.setRetryAfterMillis(OptionalLong.of(remainingMillis));
                return Optional.of(
                        task.lifecycle().close(ErrorKind.QUARANTINED, "the same request crashed upstreams before"));
            }
        }
        Optional<AttemptId> attempt = task.beginAttempt();
        if (attempt.isEmpty()) {
            suspects.recordAbandoned(expected);
            return task.lifecycle().outcome();
        }
        task.markTried(upstream);
        InFlightAttempts.Attempt handle = attempts.add(Optional.of(serving.group()));
        RequestId engineRequestId = engineRequestIds.next(task.request());
        Runnable stop = handle.cancellation()::cancel;
        task.forwarderCancellation().ifPresent(forwarder -> forwarder.onCancel(stop));
        try {
            UpstreamResult result = engines.complete(
                    serving.headAddress(),
                    request(engineRequestId, task, serving),
                    remaining(task),
                    handle.cancellation(),
                    () -> groups.mayTakeWork(serving.group(), nowMillis.getAsLong())
                            && task.lifecycle().markSending(attempt.get()),
                    task.delivery());
            observeLatency(task, upstream);
            if (result instanceof UpstreamResult.DeadlinePassed || result instanceof UpstreamResult.Cancelled) {
                stopEngine(engineRequestId, serving);
            }
            Optional<Outcome> end =
                    handleResult(task, attempt.get(), handle, result, () -> crashes.headEnded(upstream, serving));
            if (end.isPresent() && end.get() instanceof Outcome.Ran) {
                suspects.recordCompleted(attempt.get());
            }
            return end;
        } finally {
            task.forwarderCancellation().ifPresent(forwarder -> forwarder.remove(stop));
            attempts.remove(handle);
            suspects.recordAbandoned(attempt.get());
        }
    }

    private Optional<Outcome> attemptInOtherDomain(CompletionTask task, FailureDomain domain) {
        Optional<AttemptId> attempt = task.beginAttempt();
        if (attempt.isEmpty()) {
            return task.lifecycle().outcome();
        }
        task.markTriedDomain(domain);
        InFlightAttempts.Attempt handle = attempts.add(Optional.empty());
        try {
            UpstreamResult result = remote.complete(
                    domain,
                    task.forwarded(),
                    remaining(task),
                    handle.cancellation(),
                    () -> task.lifecycle().markSending(attempt.get()),
                    task.delivery());
            return handleResult(task, attempt.get(), handle, result, () -> false);
        } finally {
            attempts.remove(handle);
        }
    }

    /** A request that delivered nothing is answered at once; a started stream waits a while for a group. */
    private Optional<Outcome> handleNoGroup(CompletionTask task, long now) {
        if (task.clearTried()) {
            pause(GROUP_POLL_MILLIS);
            return Optional.empty();
        }
        if (task.sequence().nextIndex() > 0 && task.millisWithoutGroup(now) < RESUME_WAIT_MILLIS) {
            pause(GROUP_POLL_MILLIS);
            return Optional.empty();
        }
        return Optional.of(task.lifecycle().close(ErrorKind.NO_GROUP, "no complete group serves " + task.service()));
    }

    private Optional<Outcome> handleResult(
            CompletionTask task,
            AttemptId attempt,
            InFlightAttempts.Attempt handle,
            UpstreamResult result,
            BooleanSupplier onLoss) {
        return switch (result) {
            case UpstreamResult.Finished(int count, String finish) -> handleFinished(task, attempt, count, finish);
            case UpstreamResult.Responded ignored ->
                endAttempt(task, attempt, new AttemptOutcome.Failed("the engine sent no stream"));
            case UpstreamResult.NotSent(String detail) ->
                nowMillis.getAsLong() < task.deadlineMillis()
                        ? endAsLost(task, attempt, detail, true)
                        : Optional.of(task.lifecycle().close(ErrorKind.DEADLINE_DURING_RUN, detail));
            case UpstreamResult.Refused(String detail) -> endAttempt(task, attempt, new AttemptOutcome.Refused(detail));
            case UpstreamResult.Failed(int status, String detail) ->
                endAttempt(task, attempt, new AttemptOutcome.Failed(detail));
            case UpstreamResult.Lost(String detail) -> endAsLost(task, attempt, detail, onLoss.getAsBoolean());
            case UpstreamResult.DeadlinePassed(String detail) ->
                Optional.of(task.lifecycle().close(ErrorKind.DEADLINE_DURING_RUN, "the deadline passed"));
            case UpstreamResult.Cancelled ignored -> handleCancelled(task, attempt, handle, onLoss);
        };
    }

    /** An engine that was told by someone else to stop ends the stream early; that answer is not whole. */
    private Optional<Outcome> handleFinished(CompletionTask task, AttemptId attempt, int count, String finish) {
        if (finish.equals(CompletionTask.CANCELLED)) {
            return endAsLost(task, attempt, "the engine stopped the request", false);
        }
        return switch (task.sequence().end(count)) {
            case COMPLETE -> {
                task.finishReason(finish);
                yield endAttempt(task, attempt, new AttemptOutcome.Completed());
            }
            case MISSING -> endAsLost(task, attempt, "the stream ended before its last token", false);
            case CONTRADICTION ->
                Optional.of(task.lifecycle().close(ErrorKind.STREAM_TORN, "the resumed answer is shorter"));
        };
    }

    private Optional<Outcome> handleCancelled(
            CompletionTask task, AttemptId attempt, InFlightAttempts.Attempt handle, BooleanSupplier onLoss) {
        if (handle.reason().equals(Optional.of(InFlightAttempts.Reason.GROUP_BROKEN))) {
            boolean ended = onLoss.getAsBoolean();
            Logger.debug("route: request {} leaves a broken group, head ended: {}", task.request(), ended);
            return endAsLost(task, attempt, "the group is no longer complete", true);
        }
        if (handle.reason().equals(Optional.of(InFlightAttempts.Reason.SHUTDOWN))) {
            return Optional.of(task.lifecycle().close(ErrorKind.SHUTTING_DOWN, "the daemon exits"));
        }
        if (task.delivery().gap()) {
            return endAsLost(task, attempt, "tokens are missing in the stream", false);
        }
        return Optional.of(task.lifecycle().close(ErrorKind.CLIENT_GONE, "the caller closed its connection"));
    }

    private Optional<Outcome> endAsLost(CompletionTask task, AttemptId attempt, String detail, boolean budgetExempt) {
        return endAttempt(task, attempt, new AttemptOutcome.Lost(detail), budgetExempt);
    }

    private Optional<Outcome> endAttempt(CompletionTask task, AttemptId attempt, AttemptOutcome end) {
        return endAttempt(task, attempt, end, false);
    }

    /** Started streams are moved free of charge, and so is work whose upstream is gone or got nothing. */
    private Optional<Outcome> endAttempt(
            CompletionTask task, AttemptId attempt, AttemptOutcome end, boolean budgetExempt) {
        boolean moved = budgetExempt || task.sequence().nextIndex() > 0;
        RetryBudget budget = moved ? budgets.unlimited() : budgets.of(task.service());
        NextStep next = task.lifecycle().endAttempt(attempt, end, budget, nowMillis.getAsLong());
        return switch (next) {
            case NextStep.Finish(Outcome outcome) -> Optional.of(outcome);
            case NextStep.Retry ignored -> {
                Logger.debug("route: request {} goes on after {}", task.request(), end);
                yield Optional.empty();
            }
        };
    }

    private void observeLatency(CompletionTask task, UpstreamId upstream) {
        double millis = task.delivery().meanBetweenTokensMillis();
        if (millis >= 0) {
            stragglers.recordLatency(task.service(), upstream, millis, nowMillis.getAsLong());
        }
    }

    private void stopEngine(RequestId engineRequestId, ServingGroup serving) {
        Thread.startVirtualThread(() -> engines.cancel(serving.headAddress(), engineRequestId, STATUS_TIMEOUT));
    }

    private static CompletionRequest request(RequestId engineRequestId, CompletionTask task, ServingGroup serving) {
        return new CompletionRequest(
                engineRequestId,
                task.account(),
                serving.group().model(),
                task.prompt(),
                task.maxTokens(),
                serving.group().id(),
                serving.group().epoch(),
                task.sequence().nextIndex(),
                task.priority());
    }

    private Duration remaining(CompletionTask task) {
        return Duration.ofMillis(Math.max(1, task.deadlineMillis() - nowMillis.getAsLong()));
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for a group", e);
        }
    }
}
