package io.sesamehead.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.AttemptId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.RequestId;
import org.junit.jupiter.api.Test;

class AttemptTableTest {
    private static final RequestId CHOSEN_BY_CALLERS = new RequestId("1");
    private static final Incarnation CONNECTION = new Incarnation(7);

    private final AttemptTable attempts = new AttemptTable();
    private final AttemptNumberAllocator numbers = new AttemptNumberAllocator();

    /** Guards against answers to an earlier request whose caller chose the same identifier. */
    @Test
    void lateFrameIsNotAcceptedForALaterRequestWithTheSameIdentifier() {
        AttemptId earlier = begin();
        attempts.open(earlier, CONNECTION);
        attempts.close(earlier, CONNECTION);
        attempts.open(begin(), CONNECTION);
        assertThat(attempts.accept(earlier, CONNECTION)).isFalse();
    }

    /** Guards against numbers below 1, which an attempt cannot have, in a process that runs for long. */
    @Test
    void numbersStartAgainBeforeTheyOverflow() {
        AttemptNumberAllocator late = new AttemptNumberAllocator(Integer.MAX_VALUE - RequestLifecycle.MAX_ATTEMPTS);
        assertThat(late.reserve()).isPositive();
        assertThat(late.reserve()).isEqualTo(1);
    }

    private AttemptId begin() {
        return new RequestLifecycle(CHOSEN_BY_CALLERS, true, 1_000, numbers.reserve())
                .beginAttempt()
                .orElseThrow();
    }
}
