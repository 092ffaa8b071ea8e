package io.sesamehead.cli.load;

import io.sesamehead.state.RunState;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Runs a call with retries, as a well-behaved client does, and classifies its outcome. */
public final class CallRunner {
    /** Minimum delay before a retry, also used when the answer contains no delay. */
    private static final long MIN_RETRY_DELAY_MILLIS = 100;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LoadSettings settings;
    private final Sender sender;
    private final DaemonSelector daemonSelector;
    private final LongSupplier nanoClock;
    private final AtomicLong nextDaemonIndex = new AtomicLong();

    /** Sends one attempt. */
    @FunctionalInterface
    public interface Sender {
        /**
         * Sends an attempt and waits for its result.
         *
         * @param daemon address of the daemon
         * @param call the call
         * @param dueNanos monotonic time in nanoseconds at which the call was due
         * @param deadlineMillis remaining time of the call in milliseconds
         * @return the result of the attempt
         */
        AttemptResult send(String daemon, CallSpec call, long dueNanos, long deadlineMillis);
    }

    /**
     * Creates a runner.
     *
     * @param settings limits of the run
     * @param sender sends attempts
     * @param nanoClock monotonic clock in nanoseconds
     */
    public CallRunner(LoadSettings settings, Sender sender, LongSupplier nanoClock) {
        this.settings = settings;
        this.sender = sender;
        this.daemonSelector = new DaemonSelector(settings.daemons());
        this.nanoClock = nanoClock;
    }

    /**
     * Runs a call until it succeeds, fails permanently, or has no attempts or time left.
     *
     * @param call the call, idempotent or keyed
     * @param dueNanos monotonic time in nanoseconds at which the call was due
     * @return the result of the call
     * @throws InterruptedException if the run is being stopped
     */
    public CallResult run(CallSpec call, long dueNanos) throws InterruptedException {
        long firstDaemonIndex = nextDaemonIndex.getAndIncrement();
        boolean mayHaveRun = false;
        AttemptResult last = new AttemptResult.Unreachable("no attempt");
        int attempt = 0;
        while (attempt < settings.attempts()) {
            long remainingMillis = settings.deadlineMillis() - (nanoClock.getAsLong() - dueNanos) / NANOS_PER_MILLI;
            if (remainingMillis <= 0) {
                break;
            }
            last = attempt(call, firstDaemonIndex + attempt, dueNanos, remainingMillis);
            attempt++;
            Optional<CallOutcome> finalOutcome = finalOutcome(last);
            if (finalOutcome.isPresent()) {
                return new CallResult(finalOutcome.get(), attempt, last);
            }
            mayHaveRun |= mayHaveRun(last);
            if (attempt < settings.attempts()) {
                delay(last, remainingMillis);
            }
        }
        return new CallResult(mayHaveRun ? CallOutcome.UNKNOWN : CallOutcome.NOT_RUN, attempt, last);
    }

    private AttemptResult attempt(CallSpec call, long number, long dueNanos, long remainingMillis) {
        int daemon = daemonSelector.select(number, nanoClock.getAsLong());
        AttemptResult result = sender.send(daemonSelector.address(daemon), call, dueNanos, remainingMillis);
        if (result instanceof AttemptResult.Unreachable || result instanceof AttemptResult.Broken) {
            daemonSelector.recordFailure(daemon, nanoClock.getAsLong());
        } else {
            daemonSelector.recordAnswer(daemon);
        }
        return result;
    }

    /**
     * A torn stream is not retried, although a retry might succeed, because no stream may end without a final event.
     */
    private static Optional<CallOutcome> finalOutcome(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Whole whole -> Optional.of(CallOutcome.WHOLE);
            case AttemptResult.Wrong wrong -> Optional.of(CallOutcome.WRONG);
            case AttemptResult.Torn torn -> Optional.of(CallOutcome.TORN);
            case AttemptResult.Refused refused
            when refused.runState() == RunState.RAN -> Optional.of(CallOutcome.FAILED);
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

    private void delay(AttemptResult result, long remainingMillis) throws InterruptedException {
        long requestedMillis = result instanceof AttemptResult.Refused refused ? refused.retryAfterMillis() : 0;
        Thread.sleep(Math.min(remainingMillis, Math.max(requestedMillis, MIN_RETRY_DELAY_MILLIS)));
    }

    /**
     * Result of a call.
     *
     * @param outcome outcome of the call
     * @param attempts number of attempts made
     * @param lastAttempt result of the last attempt
     */
    public record CallResult(CallOutcome outcome, int attempts, AttemptResult lastAttempt) {}
}
