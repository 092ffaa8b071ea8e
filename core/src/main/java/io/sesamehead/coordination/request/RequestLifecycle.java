package io.sesamehead.coordination.request;

import io.sesamehead.state.AttemptId;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Outcome;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.RunState;
import java.util.Optional;

/**
 * State machine of a request, which has at most one live attempt at a time and exactly one outcome. A not-run outcome
 * is possible only if every attempt that sent a byte was refused by its upstream. Thread-safe. Its lock is a leaf
 * lock, except that it is held during calls to {@link RetryBudget}.
 */
public final class RequestLifecycle {
    /** Maximum number of attempts per request, so that one request cannot use up the retry budget of the others. */
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
     * Creates a request without attempts. Its attempts are numbered from 1, which is sufficient for connections that
     * carry a single attempt; on a shared connection, numbers must come from {@link AttemptNumberAllocator}.
     *
     * @param request the request
     * @param repeatable true if a second execution is harmless; false for non-idempotent and for keyed calls
     * @param deadlineMillis deadline on the monotonic clock, in milliseconds
     */
    public RequestLifecycle(RequestId request, boolean repeatable, long deadlineMillis) {
        this(request, repeatable, deadlineMillis, 1);
    }

    /**
     * Creates a request without attempts.
     *
     * @param request the request
     * @param repeatable true if a second execution is harmless; false for non-idempotent and for keyed calls
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
     * @return the attempt, or empty if the request has already ended
     * @throws IllegalStateException if another attempt is live
     */
    public synchronized Optional<AttemptId> beginAttempt() {
        if (outcome.isPresent()) {
            return Optional.empty();
        }
        if (live) {
            throw new IllegalStateException("request already has a live attempt: " + request);
        }
        live = true;
        sent = false;
        attempts++;
        return Optional.of(new AttemptId(request, firstAttempt + attempts - 1));
    }

    /**
     * Records that the first byte of the live attempt is about to be written to a socket. The caller may send only if
     * this returns true.
     *
     * @param attempt the attempt
     * @return true if the attempt is live and the request has not ended
     */
    public synchronized boolean markSending(AttemptId attempt) {
        if (!isLive(attempt)) {
            return false;
        }
        sent = true;
        return true;
    }

    /** Records that part of the answer was delivered to the caller. */
    public synchronized void markDelivered() {
        delivered = true;
    }

    /**
     * Ends the live attempt and decides whether to retry or to finish the request.
     *
     * @param attempt the attempt
     * @param result outcome of the attempt
     * @param budget retry budget
     * @param nowMillis current monotonic time, in milliseconds
     * @return the next step, with the recorded outcome if the request has already ended
     * @throws IllegalStateException if the attempt is not live and the request has not ended
     */
    public synchronized NextStep endAttempt(
            AttemptId attempt, AttemptOutcome result, RetryBudget budget, long nowMillis) {
        if (outcome.isPresent()) {
            return new NextStep.Finish(outcome.get());
        }
        if (!isLive(attempt)) {
            throw new IllegalStateException("attempt is not the live one: " + attempt);
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
     * Ends the request without another attempt, for example at its deadline, after its caller disconnected, or at
     * shutdown. A kind that states not-run is replaced if an upstream may have run the request.
     *
     * @param kind the error kind
     * @param detail one-sentence explanation for the caller
     * @return the outcome, which is the recorded one if the request has already ended
     */
    public synchronized Outcome close(ErrorKind kind, String detail) {
        if (outcome.isEmpty()) {
            boolean possiblyRan = mayHaveRun || (live && sent);
            live = false;
            outcome = Optional.of(Outcome.of(withKnownRunState(kind, possiblyRan), detail));
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
        return finish(Outcome.of(withKnownRunState(kind, mayHaveRun), detail));
    }

    private NextStep finish(Outcome result) {
        outcome = Optional.of(result);
        return new NextStep.Finish(result);
    }

    /** Replaces an error kind that claims more about execution than is known. */
    private ErrorKind withKnownRunState(ErrorKind kind, boolean possiblyRan) {
        if (possiblyRan && kind == ErrorKind.DEADLINE_BEFORE_RUN) {
            return ErrorKind.DEADLINE_DURING_RUN;
        }
        if (!possiblyRan && kind == ErrorKind.DEADLINE_DURING_RUN) {
            return ErrorKind.DEADLINE_BEFORE_RUN;
        }
        boolean claimsNotRun = kind.runState() == RunState.NOT_RUN;
        if (delivered && (kind == ErrorKind.UPSTREAM_LOST || claimsNotRun)) {
            return ErrorKind.STREAM_TORN;
        }
        return possiblyRan && claimsNotRun ? ErrorKind.UPSTREAM_LOST : kind;
    }
}
