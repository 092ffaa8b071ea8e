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

/** Guards the classification of calls: a wrong class would hide a lost, torn or doubled call. */
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
    void notRunOnlyWhenEveryAttemptWasNotRun() throws InterruptedException {
        assertThat(classOf(NOT_RUN, NOT_RUN, NOT_RUN)).isEqualTo(CallOutcome.NOT_RUN);
        assertThat(classOf(UNREACHABLE, NOT_RUN, UNREACHABLE)).isEqualTo(CallOutcome.NOT_RUN);
        assertThat(classOf(BROKEN, NOT_RUN, NOT_RUN)).isEqualTo(CallOutcome.UNKNOWN);
        assertThat(classOf(NOT_RUN, MAY_HAVE_RUN, NOT_RUN)).isEqualTo(CallOutcome.UNKNOWN);
    }

    @Test
    void laterAttemptMayStillReturnTheAnswer() throws InterruptedException {
        assertThat(classOf(BROKEN, WHOLE)).isEqualTo(CallOutcome.WHOLE);
        assertThat(daemons).containsExactly("d0", "d1");
    }

    @Test
    void tornWrongAndFailedEndsAreFinal() throws InterruptedException {
        assertThat(classOf(new AttemptResult.Torn("eof"), WHOLE)).isEqualTo(CallOutcome.TORN);
        assertThat(classOf(new AttemptResult.Wrong("other"), WHOLE)).isEqualTo(CallOutcome.WRONG);
        assertThat(classOf(RAN, WHOLE)).isEqualTo(CallOutcome.FAILED);
    }

    /** Repeats of a key must return one answer, and the service must have run the key once. */
    @Test
    void tallyFindsDifferentAnswersAndWrongExecutions() {
        LoadStatistics tally = new LoadStatistics();
        end(tally, "same", WHOLE, CallOutcome.WHOLE);
        end(tally, "same", WHOLE, CallOutcome.WHOLE);
        end(tally, "differs", WHOLE, CallOutcome.WHOLE);
        end(tally, "differs", new AttemptResult.Whole("b"), CallOutcome.WHOLE);
        end(tally, "refused", NOT_RUN, CallOutcome.NOT_RUN);
        end(tally, "lost", WHOLE, CallOutcome.WHOLE);
        assertThat(tally.count(CallOutcome.WRONG)).isEqualTo(1);
        assertThat(tally.unaccountedCalls()).isEqualTo(1);
        assertThat(tally.compare(ImmutableMap.of("same", 1L, "differs", 2L, "refused", 1L)))
                .isEqualTo(new LoadStatistics.ExecutionCheck(4, 1, 1, 1));
    }

    /** A call whose thread ended without a result must not vanish from the sum. */
    @Test
    void callWithoutAnEndIsUnaccounted() {
        LoadStatistics tally = new LoadStatistics();
        tally.sent(ORDER);
        assertThat(tally.unaccountedCalls()).isEqualTo(1);
    }

    private static void end(LoadStatistics tally, String key, AttemptResult last, CallOutcome callClass) {
        CallSpec.Order order = new CallSpec.Order("shop-1", "orders", key, "{}", false);
        tally.sent(order);
        tally.recordEnd(order, new CallRunner.CallResult(callClass, 1, last));
    }

    private CallOutcome classOf(AttemptResult... results) throws InterruptedException {
        daemons.clear();
        Queue<AttemptResult> script = new ArrayDeque<>(List.of(results));
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
                (daemon, call, due, left) -> {
                    daemons.add(daemon);
                    return script.remove();
                },
                System::nanoTime);
        return runner.run(ORDER, System.nanoTime()).outcome();
    }
}
