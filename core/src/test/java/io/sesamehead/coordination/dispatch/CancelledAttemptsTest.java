package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against crashes that are not counted because the caller left or the time ran out a moment before. */
final class CancelledAttemptsTest {
    private static final TargetKey TARGET = new TargetKey("t", 1);

    private final CancelledAttempts attempts = new CancelledAttempts();

    private static CancelledAttempts.CancelledAttempt attempt(int request, TargetKey target, long stoppedAtMillis) {
        return new CancelledAttempts.CancelledAttempt(
                new CallFingerprint(request), target, stoppedAtMillis - 50, stoppedAtMillis);
    }

    @Test
    void attemptsAtATargetThatEndsSoonAfterAreTakenOnce() {
        attempts.add(attempt(1, TARGET, 1_000));
        attempts.add(attempt(2, new TargetKey("other", 1), 1_000));
        attempts.add(attempt(3, TARGET, 4_000));

        List<CancelledAttempts.CancelledAttempt> taken = attempts.take(TARGET, 5_000);

        assertThat(taken).containsExactly(attempt(1, TARGET, 1_000), attempt(3, TARGET, 4_000));
        assertThat(attempts.take(TARGET, 5_000)).isEmpty();
    }

    @Test
    void attemptsLongBeforeTheEndOfTheirTargetAreInnocent() {
        attempts.add(attempt(1, TARGET, 1_000));

        assertThat(attempts.take(TARGET, 7_000)).isEmpty();
    }

    @Test
    void memoryIsBounded() {
        for (int i = 0; i < 5_000; i++) {
            attempts.add(attempt(i, TARGET, 1_000));
        }

        assertThat(attempts.take(TARGET, 1_000)).hasSize(1_024);
    }
}
