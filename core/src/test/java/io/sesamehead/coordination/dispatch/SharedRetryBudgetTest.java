package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against retries that multiply the load on failing upstreams. */
final class SharedRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 260;
    private static final long WINDOW_MILLIS = 10_000;
    private static final int DAEMONS = 12;

    @Test
    void allDaemonsTogetherStayWithinBudget() {
        int calls = 0;
        int retries = 0;
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            SharedRetryBudget budget = new SharedRetryBudget(RATIO, SLACK, WINDOW_MILLIS, 0);
            for (long now = 0; now < WINDOW_MILLIS; now += 100) {
                budget.recordCall(now);
                calls++;
                for (int tries = 0; tries < 5; tries++) {
                    retries += budget.tryRetry(now, DAEMONS) ? 1 : 0;
                }
            }
        }

        assertThat(retries).isPositive();
        assertThat((double) retries).isLessThanOrEqualTo(RATIO * calls + SLACK);
    }

    /** Guards against a restarted process that uses its full share of the slack after its predecessor used it up. */
    @Test
    void restartedDaemonsStayWithinBudgetOfWindow() {
        long restart = WINDOW_MILLIS / 2;
        int calls = 0;
        int retries = 0;
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            SharedRetryBudget budget = new SharedRetryBudget(RATIO, SLACK, WINDOW_MILLIS, 0);
            for (long now = 0; now < WINDOW_MILLIS; now += 100) {
                if (now == restart) {
                    budget = new SharedRetryBudget(RATIO, SLACK, WINDOW_MILLIS, restart + WINDOW_MILLIS);
                }
                budget.recordCall(now);
                calls++;
                while (budget.tryRetry(now, DAEMONS)) {
                    retries++;
                }
            }
        }

        assertThat((double) retries).isLessThanOrEqualTo(RATIO * calls + SLACK);
    }

    @Test
    void budgetIsRestoredAfterWindow() {
        SharedRetryBudget budget = new SharedRetryBudget(RATIO, SLACK, WINDOW_MILLIS, 0);
        while (budget.tryRetry(0, DAEMONS)) {
            assertThat(budget.remaining(0, DAEMONS)).isLessThan(SLACK);
        }

        assertThat(budget.tryRetry(WINDOW_MILLIS - 1, DAEMONS)).isFalse();
        assertThat(budget.tryRetry(WINDOW_MILLIS + 2_000, DAEMONS)).isTrue();
    }
}
