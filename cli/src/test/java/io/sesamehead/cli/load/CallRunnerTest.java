package io.sesamehead.cli.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.sesamehead.state.RunState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** Tests the classification of calls; a wrong outcome would hide a lost, torn or duplicate call. */
class CallRunnerTest {
    private static final AttemptResult NOT_RUN = new AttemptResult.Refused(RunState.NOT_RUN, "no-group", 0);
    private static final AttemptResult MAY_HAVE_RUN =
            new AttemptResult.Refused(RunState.MAY_HAVE_RUN, "claimed-elsewhere", 0);
    private static final AttemptResult RAN = new AttemptResult.Refused(RunState.RAN, "upstream-failed", 0);
    private static final AttemptResult BROKEN = new AttemptResult.Broken("reset");
    private static final AttemptResult UNREACHABLE = new AttemptResult.Unreachable("refused");
    private static final AttemptResult WHOLE = new AttemptResult.Whole("a");
    private static final CallSpec.Order ORDER = new CallSpec.Order("shop-1", "orders", "k", "{}", false);

    private final List<String> daemons = new ArrayList<>();

    @Test
    void reportsNotRunOnlyIfNoAttemptMayHaveRun() throws InterruptedException {
        assertThat(outcomeOf(NOT_RUN, NOT_RUN, NOT_RUN)).isEqualTo(CallOutcome.NOT_RUN);
        assertThat(outcomeOf(UNREACHABLE, NOT_RUN, UNREACHABLE)).isEqualTo(CallOutcome.NOT_RUN);
        assertThat(outcomeOf(BROKEN, NOT_RUN, NOT_RUN)).isEqualTo(CallOutcome.UNKNOWN);
        assertThat(outcomeOf(NOT_RUN, MAY_HAVE_RUN, NOT_RUN)).isEqualTo(CallOutcome.UNKNOWN);
    }

    @Test
    void returnsAnswerOfRetry() throws InterruptedException {
        assertThat(outcomeOf(BROKEN, WHOLE)).isEqualTo(CallOutcome.WHOLE);
        assertThat(daemons).containsExactly("d0", "d1");
    }

    @Test
    void doesNotRetryTornWrongAndFailedCalls() throws InterruptedException {
        assertThat(outcomeOf(new AttemptResult.Torn("eof"), WHOLE)).isEqualTo(CallOutcome.TORN);
        assertThat(outcomeOf(new AttemptResult.Wrong("other"), WHOLE)).isEqualTo(CallOutcome.WRONG);
        assertThat(outcomeOf(RAN, WHOLE)).isEqualTo(CallOutcome.FAILED);
    }

    /** All uses of a key must return the same answer, and the service must have executed the key once. */
    @Test
    void detectsDifferentAnswersAndWrongExecutions() {
        LoadStatistics statistics = new LoadStatistics();
        recordResult(statistics, "same", WHOLE, CallOutcome.WHOLE);
        recordResult(statistics, "same", WHOLE, CallOutcome.WHOLE);
        recordResult(statistics, "differs", WHOLE, CallOutcome.WHOLE);
        recordResult(statistics, "differs", new AttemptResult.Whole("b"), CallOutcome.WHOLE);
        recordResult(statistics, "refused", NOT_RUN, CallOutcome.NOT_RUN);
        recordResult(statistics, "lost", WHOLE, CallOutcome.WHOLE);
        assertThat(statistics.count(CallOutcome.WRONG)).isEqualTo(1);
        assertThat(statistics.unaccountedCalls()).isEqualTo(1);
        assertThat(statistics.compare(ImmutableMap.of("same", 1L, "differs", 2L, "refused", 1L)))
                .isEqualTo(new LoadStatistics.ExecutionCheck(4, 1, 1, 1));
    }

    /** A call whose thread ended without a result must be counted as unaccounted. */
    @Test
    void countsCallWithoutResultAsUnaccounted() {
        LoadStatistics statistics = new LoadStatistics();
        statistics.recordSent(ORDER);
        assertThat(statistics.unaccountedCalls()).isEqualTo(1);
    }

    private static void recordResult(LoadStatistics statistics, String key, AttemptResult last, CallOutcome outcome) {
        CallSpec.Order order = new CallSpec.Order("shop-1", "orders", key, "{}", false);
        statistics.recordSent(order);
        statistics.recordEnd(order, new CallRunner.CallResult(outcome, 1, last));
    }

    private CallOutcome outcomeOf(AttemptResult... results) throws InterruptedException {
        daemons.clear();
        Queue<AttemptResult> remainingResults = new ArrayDeque<>(List.of(results));
        LoadSettings settings = new LoadSettings(
                ImmutableList.of("d0", "d1", "d2"),
                ImmutableList.of("shop-1"),
                "",
                "orders",
                1,
                1,
                1,
                1,
                1,
                0,
                0,
                1,
                60_000,
                1000,
                results.length,
                1);
        CallRunner runner = new CallRunner(
                settings,
                (daemon, call, due, remaining) -> {
                    daemons.add(daemon);
                    return remainingResults.remove();
                },
                System::nanoTime);
        return runner.run(ORDER, System.nanoTime()).outcome();
    }
}
