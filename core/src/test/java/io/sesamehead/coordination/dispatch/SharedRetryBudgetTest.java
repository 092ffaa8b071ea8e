package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against repeats that multiply the load of failing upstreams. */
final class SharedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 260;
    private static final long WINDOW_MILLIS = 10_000;
    private static final int DAEMONS = 12;

    @Test
    void allDaemonsTogetherStayWithinTheBudgetInAnyWindow() {
        int calls = 0;
        int repeats = 0;
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            SharedRetryBudget allowance = new SharedRetryBudget(RATIO, SLACK, WINDOW_MILLIS, 0);
            for (long now = 0; now < WINDOW_MILLIS; now += 100) {
                allowance.recordCall(now);
                calls++;
                for (int tries = 0; tries < 5; tries++) {
                    repeats += allowance.tryRetry(now, DAEMONS) ? 1 : 0;
                }
            }
        }

        assertThat(repeats).isPositive();
        assertThat((double) repeats).isLessThanOrEqualTo(RATIO * calls + SLACK);
    }

    /** Each process started with its whole part, also when the one before had just used it up. */
    @Test
    void daemonsThatStartAgainStayWithinTheBudgetOfTheWindow() {
        long restart = WINDOW_MILLIS / 2;
        int calls = 0;
        int repeats = 0;
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            SharedRetryBudget allowance = new SharedRetryBudget(RATIO, SLACK, WINDOW_MILLIS, 0);
            for (long now = 0; now < WINDOW_MILLIS; now += 100) {
                if (now == restart) {
                    allowance = new SharedRetryBudget(RATIO, SLACK, WINDOW_MILLIS, restart + WINDOW_MILLIS);
                }
                allowance.recordCall(now);
                calls++;
                while (allowance.tryRetry(now, DAEMONS)) {
                    repeats++;
                }
            }
        }

        assertThat((double) repeats).isLessThanOrEqualTo(RATIO * calls + SLACK);
    }

    @Test
    void spentBudgetReturnsAfterTheWindow() {
        SharedRetryBudget allowance = new SharedRetryBudget(RATIO, SLACK, WINDOW_MILLIS, 0);
        while (allowance.tryRetry(0, DAEMONS)) {
            assertThat(allowance.remaining(0, DAEMONS)).isLessThan(SLACK);
        }

        assertThat(allowance.tryRetry(WINDOW_MILLIS - 1, DAEMONS)).isFalse();
        assertThat(allowance.tryRetry(WINDOW_MILLIS + 2_000, DAEMONS)).isTrue();
    }
}
