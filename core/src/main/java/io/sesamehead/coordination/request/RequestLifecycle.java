package io.sesamehead.coordination.request;

import io.sesamehead.state.AttemptId;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Outcome;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.RunState;
import java.util.Optional;

/**
 * State machine of one request: at most one attempt at a time, and one outcome. A not-run outcome is possible only while
 * no attempt sent a byte that its upstream did not refuse. Thread-safe; its lock is a leaf except that it is held while
 * a {@link RetryBudget} is asked.
 */
public final class RequestLifecycle {
    /** Attempts of one request, so that a request cannot use up the retry budget of the others. */
    public static final int MAX_ATTEMPTS = 4;

    private final RequestId request;
    private final boolean repeatable;
    private final long deadlineMillis;
    private final int firstAttempt;
    private int attempts;
    private boolean live;
    private boolean sent;
    private boolean mayHaveRun;
    private boolean delivered;
    private Optional<Outcome> outcome = Optional.empty();

    /**
     * Creates a request without attempts whose attempts are numbered from 1. For connections that carry one attempt only;
     * on a shared connection the numbers come from {@link AttemptNumberAllocator}.
     *
     * @param request the request
     * @param repeatable true when a second execution does no harm; false for non-idempotent and for keyed calls
     * @param deadlineMillis deadline on the monotonic clock, in milliseconds
     */
    public RequestLifecycle(RequestId request, boolean repeatable, long deadlineMillis) {
        this(request, repeatable, deadlineMillis, 1);
    }

    /**
     * Creates a request without attempts.
     *
     * @param request the request
     * @param repeatable true when a second execution does no harm; false for non-idempotent and for keyed calls
     * @param deadlineMillis deadline on the monotonic clock, in milliseconds
     * @param firstAttempt number of the first attempt, from {@link AttemptNumberAllocator#reserve}
     */
    public RequestLifecycle(RequestId request, boolean repeatable, long deadlineMillis, int firstAttempt) {
        this.request = request;
        this.repeatable = repeatable;
        this.deadlineMillis = deadlineMillis;
        this.firstAttempt = firstAttempt;
    }

    /**
     * Starts the next attempt.
     *
     * @return the attempt, or empty when the request has ended meanwhile
     * @throws IllegalStateException if an attempt is live
     */
    public synchronized Optional<AttemptId> beginAttempt() {
        if (outcome.isPresent()) {
            return Optional.empty();
        }
        if (live) {
            throw new IllegalStateException("an attempt is live: " + request);
        }
        live = true;
        sent = false;
        attempts++;
        return Optional.of(new AttemptId(request, firstAttempt + attempts - 1));
    }

    /**
     * Records that the first byte of the live attempt is about to be handed to a socket. The caller sends only when this
     * returns true.
     *
     * @param attempt the attempt
     * @return true when the attempt is live and the request has not ended
     */
    public synchronized boolean markSending(AttemptId attempt) {
        if (!isLive(attempt)) {
            return false;
        }
        sent = true;
        return true;
    }

    /** Records that a part of the answer was delivered to the caller. */
    public synchronized void markDelivered() {
        delivered = true;
    }

    /**
     * Decides what follows the end of the live attempt.
     *
     * @param attempt the attempt
     * @param result how it ended
     * @param budget budget of retries
     * @param nowMillis present time, in milliseconds
     * @return the next step; the recorded outcome when the request has ended already
     * @throws IllegalStateException if the attempt is not live and the request has not ended
     */
    public synchronized NextStep endAttempt(
            AttemptId attempt, AttemptOutcome result, RetryBudget budget, long nowMillis) {
        if (outcome.isPresent()) {
            return new NextStep.Finish(outcome.get());
        }
        if (!isLive(attempt)) {
            throw new IllegalStateException("attempt is not live: " + attempt);
        }
        live = false;
        return switch (result) {
            case AttemptOutcome.Completed ignored -> finish(new Outcome.Ran());
            case AttemptOutcome.Failed failed ->
                finish(new Outcome.RanWithError(ErrorKind.UPSTREAM_FAILED, failed.detail()));
            case AttemptOutcome.Refused refused -> afterRefusal(refused.detail(), budget, nowMillis);
            case AttemptOutcome.Lost lost -> afterLoss(lost.detail(), budget, nowMillis);
        };
    }

    /**
     * Ends the request without a further attempt, for example at its deadline, when its caller left, or at shutdown. A
     * kind that states not-run is replaced when an upstream may have run the request.
     *
     * @param kind the error kind
     * @param detail a sentence for the caller
     * @return the outcome; the recorded one when the request has ended already
     */
    public synchronized Outcome close(ErrorKind kind, String detail) {
        if (outcome.isEmpty()) {
            boolean unknown = mayHaveRun || (live && sent);
            live = false;
            outcome = Optional.of(Outcome.of(truthful(kind, unknown), detail));
        }
        return outcome.get();
    }

    /**
     * Returns the outcome.
     *
     * @return the outcome, or empty while the request is open
     */
    public synchronized Optional<Outcome> outcome() {
        return outcome;
    }

    private boolean isLive(AttemptId attempt) {
        return live
                && outcome.isEmpty()
                && attempt.number() == firstAttempt + attempts - 1
                && attempt.request().equals(request);
    }

    private NextStep afterRefusal(String detail, RetryBudget budget, long nowMillis) {
        boolean allowed = repeatable || !sent;
        return retryOrFinish(allowed, ErrorKind.UPSTREAM_REFUSED, detail, budget, nowMillis);
    }

    private NextStep afterLoss(String detail, RetryBudget budget, long nowMillis) {
        if (!sent) {
            return retryOrFinish(true, ErrorKind.UPSTREAM_REFUSED, detail, budget, nowMillis);
        }
        mayHaveRun = true;
        return retryOrFinish(repeatable, ErrorKind.UPSTREAM_LOST, detail, budget, nowMillis);
    }

    private NextStep retryOrFinish(boolean allowed, ErrorKind kind, String detail, RetryBudget budget, long nowMillis) {
        if (allowed && attempts < MAX_ATTEMPTS && nowMillis < deadlineMillis && budget.tryRetry(nowMillis)) {
            return new NextStep.Retry();
        }
        return finish(Outcome.of(truthful(kind, mayHaveRun), detail));
    }

    private NextStep finish(Outcome end) {
        outcome = Optional.of(end);
        return new NextStep.Finish(end);
    }

    /** Replaces a kind that says more about execution than is known. */
    private ErrorKind truthful(ErrorKind kind, boolean unknown) {
        if (unknown && kind == ErrorKind.DEADLINE_BEFORE_RUN) {
            return ErrorKind.DEADLINE_DURING_RUN;
        }
        if (!unknown && kind == ErrorKind.DEADLINE_DURING_RUN) {
            return ErrorKind.DEADLINE_BEFORE_RUN;
        }
        boolean claimsNotRun = kind.runState() == RunState.NOT_RUN;
        if (delivered && (kind == ErrorKind.UPSTREAM_LOST || claimsNotRun)) {
            return ErrorKind.STREAM_TORN;
        }
        return unknown && claimsNotRun ? ErrorKind.UPSTREAM_LOST : kind;
    }
}
