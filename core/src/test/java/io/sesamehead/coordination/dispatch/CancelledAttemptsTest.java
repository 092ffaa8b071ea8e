package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against missing a crash because the caller disconnected or the deadline passed just before it. */
final class CancelledAttemptsTest {
    private static final TargetKey TARGET = new TargetKey("t", 1);

    private final CancelledAttempts attempts = new CancelledAttempts();

    private static CancelledAttempts.CancelledAttempt attempt(int request, TargetKey target, long cancelledAtMillis) {
        return new CancelledAttempts.CancelledAttempt(
                new CrashSubject(request), ImmutableList.of(), target, cancelledAtMillis - 50, cancelledAtMillis);
    }

    @Test
    void takesRecentAttemptsAtFailedTargetOnce() {
        attempts.add(attempt(1, TARGET, 1_000));
        attempts.add(attempt(2, new TargetKey("other", 1), 1_000));
        attempts.add(attempt(3, TARGET, 4_000));

        List<CancelledAttempts.CancelledAttempt> taken = attempts.take(TARGET, 5_000);

        assertThat(taken).containsExactly(attempt(1, TARGET, 1_000), attempt(3, TARGET, 4_000));
        assertThat(attempts.take(TARGET, 5_000)).isEmpty();
    }

    @Test
    void ignoresAttemptsCancelledLongBeforeFailure() {
        attempts.add(attempt(1, TARGET, 1_000));

        assertThat(attempts.take(TARGET, 7_000)).isEmpty();
    }

    @Test
    void limitsNumberOfAttempts() {
        for (int i = 0; i < 5_000; i++) {
            attempts.add(attempt(i, TARGET, 1_000));
        }

        assertThat(attempts.take(TARGET, 1_000)).hasSize(1_024);
    }
}
