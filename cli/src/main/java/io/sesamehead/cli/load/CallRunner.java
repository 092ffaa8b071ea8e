package io.sesamehead.cli.load;

import io.sesamehead.state.RunState;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Carries one call through its attempts, as a careful caller would, and classifies its end. */
public final class CallRunner {
    /** Pause before another attempt when the answer advises none. */
    private static final long DEFAULT_PAUSE_MILLIS = 100;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LoadSettings settings;
    private final Sender sender;
    private final DaemonSelector daemons;
    private final LongSupplier nanoClock;
    private final AtomicLong turn = new AtomicLong();

    /** Sends one attempt. */
    @FunctionalInterface
    public interface Sender {
        /**
         * Sends an attempt and waits for its end.
         *
         * @param daemon address of the daemon
         * @param call the call
         * @param dueNanos monotonic time at which the call was due
         * @param deadlineMillis time left for the call
         * @return what came back
         */
        AttemptResult send(String daemon, CallSpec call, long dueNanos, long deadlineMillis);
    }

    /**
     * Creates the runner.
     *
     * @param settings bounds of the run
     * @param sender sends attempts
     * @param nanoClock monotonic clock
     */
    public CallRunner(LoadSettings settings, Sender sender, LongSupplier nanoClock) {
        this.settings = settings;
        this.sender = sender;
        this.daemons = new DaemonSelector(settings.daemons());
        this.nanoClock = nanoClock;
    }

    /**
     * Runs a call to its end.
     *
     * @param call the call, idempotent or keyed
     * @param dueNanos monotonic time at which it was due
     * @return its end
     * @throws InterruptedException if the run is being stopped
     */
    public CallResult run(CallSpec call, long dueNanos) throws InterruptedException {
        long firstTurn = turn.getAndIncrement();
        boolean mayHaveRun = false;
        AttemptResult last = new AttemptResult.Unreachable("no attempt");
        int attempt = 0;
        while (attempt < settings.attempts()) {
            long leftMillis = settings.deadlineMillis() - (nanoClock.getAsLong() - dueNanos) / NANOS_PER_MILLI;
            if (leftMillis <= 0) {
                break;
            }
            last = attempt(call, firstTurn + attempt, dueNanos, leftMillis);
            attempt++;
            Optional<CallOutcome> end = finalClass(last);
            if (end.isPresent()) {
                return new CallResult(end.get(), attempt, last);
            }
            mayHaveRun |= mayHaveRun(last);
            if (attempt < settings.attempts()) {
                pause(last, leftMillis);
            }
        }
        return new CallResult(mayHaveRun ? CallOutcome.UNKNOWN : CallOutcome.NOT_RUN, attempt, last);
    }

    private AttemptResult attempt(CallSpec call, long number, long dueNanos, long leftMillis) {
        int daemon = daemons.select(number, nanoClock.getAsLong());
        AttemptResult result = sender.send(daemons.address(daemon), call, dueNanos, leftMillis);
        if (result instanceof AttemptResult.Unreachable || result instanceof AttemptResult.Broken) {
            daemons.recordFailure(daemon, nanoClock.getAsLong());
        } else {
            daemons.recordAnswer(daemon);
        }
        return result;
    }

    /** A torn stream is final even though another attempt might succeed: no stream may end that way. */
    private static Optional<CallOutcome> finalClass(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Whole whole -> Optional.of(CallOutcome.WHOLE);
            case AttemptResult.Wrong wrong -> Optional.of(CallOutcome.WRONG);
            case AttemptResult.Torn torn -> Optional.of(CallOutcome.TORN);
            case AttemptResult.Refused refused when refused.runState() == RunState.RAN -> Optional.of(CallOutcome.FAILED);
            default -> Optional.empty();
        };
    }

    private static boolean mayHaveRun(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Broken broken -> true;
            case AttemptResult.Refused refused -> refused.runState() == RunState.MAY_HAVE_RUN;
            default -> false;
        };
    }

    private void pause(AttemptResult result, long leftMillis) throws InterruptedException {
        long advised = result instanceof AttemptResult.Refused refused ? refused.retryAfterMillis() : 0;
        Thread.sleep(Math.min(leftMillis, Math.max(advised, DEFAULT_PAUSE_MILLIS)));
    }

    /**
     * The end of a call.
     *
     * @param outcome how it ended
     * @param attempts attempts made
     * @param lastAttempt what the last attempt returned
     */
    public record CallResult(CallOutcome outcome, int attempts, AttemptResult lastAttempt) {}
}
