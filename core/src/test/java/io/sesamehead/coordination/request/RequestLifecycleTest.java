package io.sesamehead.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.AttemptId;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.Outcome;
import io.sesamehead.state.RequestId;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RequestLifecycleTest {
    private static final RequestId REQUEST = new RequestId("r");
    private static final long DEADLINE = 1_000;

    private final RetryBudget budget = new RetryBudget();

    private static ErrorKind kind(NextStep step) {
        return kind(((NextStep.Finish) step).outcome());
    }

    private static ErrorKind kind(Outcome outcome) {
        return switch (outcome) {
            case Outcome.NotRun notRun -> notRun.kind();
            case Outcome.MayHaveRun mayHaveRun -> mayHaveRun.kind();
            case Outcome.RanWithError error -> error.kind();
            case Outcome.Ran ignored -> throw new AssertionError("ran");
        };
    }

    /** Guards against frames of a closed attempt or an old connection reaching a live one. */
    @Test
    void framesWithoutALiveAttemptAreRejectedAndCounted() {
        AttemptTable attempts = new AttemptTable();
        AttemptId first = new AttemptId(REQUEST, 1);
        Incarnation connection = new Incarnation(1);
        attempts.open(first, connection);

        assertThat(attempts.accept(first, connection)).isTrue();
        assertThat(attempts.accept(first, new Incarnation(2))).isFalse();
        assertThat(attempts.accept(new AttemptId(REQUEST, 2), connection)).isFalse();
        assertThat(attempts.close(first, new Incarnation(2))).isFalse();
        assertThat(attempts.close(first, connection)).isTrue();
        assertThat(attempts.close(first, connection)).isFalse();
        assertThat(attempts.accept(first, connection)).isFalse();
        assertThat(attempts.rejectedFrames()).isEqualTo(3);
    }

    /** Guards against a second execution of a non-idempotent call, and against a false not-run answer. */
    @Test
    void nonRepeatableCallIsNotRetriedOnceAByteWasSent() {
        RequestLifecycle run = new RequestLifecycle(REQUEST, false, DEADLINE);
        AttemptId first = run.beginAttempt().orElseThrow();
        assertThat(run.endAttempt(first, new AttemptOutcome.Lost("no connection"), budget, 0))
                .isEqualTo(new NextStep.Retry());
        AttemptId second = run.beginAttempt().orElseThrow();
        assertThat(run.markSending(second)).isTrue();

        assertThat(kind(run.endAttempt(second, new AttemptOutcome.Lost("reset"), budget, 0)))
                .isEqualTo(ErrorKind.UPSTREAM_LOST);
        assertThat(run.beginAttempt()).isEmpty();
    }

    @Test
    void refusalOfANonRepeatableCallIsNotRun() {
        RequestLifecycle run = new RequestLifecycle(REQUEST, false, DEADLINE);
        AttemptId attempt = run.beginAttempt().orElseThrow();
        run.markSending(attempt);

        assertThat(kind(run.endAttempt(attempt, new AttemptOutcome.Refused("busy"), budget, 0)))
                .isEqualTo(ErrorKind.UPSTREAM_REFUSED);
    }

    /** Guards against forgetting that an earlier attempt may have run. */
    @Test
    void lostAttemptIsRememberedWhenALaterOneIsRefused() {
        RequestLifecycle run = new RequestLifecycle(REQUEST, true, DEADLINE);
        AttemptId first = run.beginAttempt().orElseThrow();
        run.markSending(first);
        run.endAttempt(first, new AttemptOutcome.Lost("reset"), budget, 0);
        AttemptId second = run.beginAttempt().orElseThrow();
        run.markSending(second);

        assertThat(kind(run.endAttempt(second, new AttemptOutcome.Refused("busy"), budget, DEADLINE)))
                .isEqualTo(ErrorKind.UPSTREAM_LOST);
    }

    /** Guards against an attempt that sends after its caller was told not-run. */
    @Test
    void closedRequestSendsNothingAndKeepsItsOutcome() {
        RequestLifecycle run = new RequestLifecycle(REQUEST, true, DEADLINE);
        AttemptId attempt = run.beginAttempt().orElseThrow();

        assertThat(kind(run.close(ErrorKind.DEADLINE_BEFORE_RUN, "late"))).isEqualTo(ErrorKind.DEADLINE_BEFORE_RUN);
        assertThat(run.markSending(attempt)).isFalse();
        assertThat(kind(run.endAttempt(attempt, new AttemptOutcome.Completed(), budget, 0)))
                .isEqualTo(ErrorKind.DEADLINE_BEFORE_RUN);
    }

    @Test
    void closeWhileRunningStatesMayHaveRun() {
        for (ErrorKind asked : new ErrorKind[] {ErrorKind.DEADLINE_BEFORE_RUN, ErrorKind.SHUTTING_DOWN}) {
            RequestLifecycle run = new RequestLifecycle(REQUEST, true, DEADLINE);
            run.markSending(run.beginAttempt().orElseThrow());

            assertThat(run.close(asked, "end")).isInstanceOf(Outcome.MayHaveRun.class);
        }
    }

    /** Random runs: not-run only if no sent attempt was left unrefused; a non-repeatable call is sent at most once. */
    @Test
    void outcomeNeverClaimsMoreThanIsKnown() {
        Random random = new Random(11);
        for (int round = 0; round < 3_000; round++) {
            boolean repeatable = random.nextBoolean();
            RequestLifecycle run = new RequestLifecycle(REQUEST, repeatable, DEADLINE);
            int sends = 0;
            boolean unknown = false;
            while (run.outcome().isEmpty()) {
                AttemptId attempt = run.beginAttempt().orElseThrow();
                boolean sent = random.nextBoolean() && run.markSending(attempt);
                sends += sent ? 1 : 0;
                int choice = random.nextInt(3);
                unknown |= sent && choice != 0;
                switch (choice) {
                    case 0 -> run.endAttempt(attempt, new AttemptOutcome.Refused("busy"), new RetryBudget(), 0);
                    case 1 -> run.endAttempt(attempt, new AttemptOutcome.Lost("reset"), new RetryBudget(), 0);
                    default -> run.close(ErrorKind.SHUTTING_DOWN, "stop");
                }
            }
            assertThat(run.outcome().get() instanceof Outcome.NotRun).isEqualTo(!unknown);
            assertThat(repeatable || sends <= 1).isTrue();
        }
    }

    @Test
    void retriesAreLimitedToATenthOfRecentCalls() {
        RetryBudget limited = new RetryBudget();
        for (int i = 0; i < 100; i++) {
            limited.recordCall(0);
        }
        int granted = 0;
        while (limited.tryRetry(0)) {
            granted++;
        }

        assertThat(granted).isEqualTo(10);
        int afterDecay = 0;
        while (limited.tryRetry(1_000_000)) {
            afterDecay++;
        }
        assertThat(afterDecay).isEqualTo(3);
    }

    /** Guards against torn or repeated tokens when attempts overlap. */
    @Test
    void streamDeliversEachIndexOnceInOrder() {
        StreamSequence stream = new StreamSequence();

        assertThat(stream.accept(0)).isEqualTo(StreamSequence.TokenVerdict.DELIVER);
        assertThat(stream.accept(2)).isEqualTo(StreamSequence.TokenVerdict.GAP);
        assertThat(stream.nextIndex()).isEqualTo(1);
        assertThat(stream.accept(0)).isEqualTo(StreamSequence.TokenVerdict.DUPLICATE);
        assertThat(stream.accept(1)).isEqualTo(StreamSequence.TokenVerdict.DELIVER);
        assertThat(stream.end(3)).isEqualTo(StreamSequence.EndVerdict.MISSING);
        assertThat(stream.end(1)).isEqualTo(StreamSequence.EndVerdict.CONTRADICTION);
        assertThat(stream.isComplete()).isFalse();
        assertThat(stream.end(2)).isEqualTo(StreamSequence.EndVerdict.COMPLETE);
        assertThat(stream.accept(2)).isEqualTo(StreamSequence.TokenVerdict.GAP);
        assertThat(stream.isComplete()).isTrue();
    }
}
