package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a request that ends every upstream it reaches, and against refusals of requests that do not. */
final class CrashHistoryTest {
    @Test
    void requestIsRefusedAfterItsThirdCrashAndForgottenLater() {
        CrashHistory crashes = new CrashHistory();
        CallFingerprint request = new CallFingerprint(9);
        crashes.recordCrash(request, 0);
        crashes.recordCrash(request, 1_000);
        assertThat(crashes.refused(request, 1_000)).isFalse();

        crashes.recordCrash(request, 2_000);

        assertThat(crashes.refused(request, 2_000)).isTrue();
        assertThat(crashes.refused(new CallFingerprint(8), 2_000)).isFalse();
        assertThat(crashes.refused(request, 200_000)).isFalse();
    }

    /** Many callers ask for one path without a body; some of them are there when an upstream ends. */
    @Test
    void requestThatRunsToItsEndIsNotBlamedForTheCrashesItMet() {
        CrashHistory crashes = new CrashHistory();
        CallFingerprint request = new CallFingerprint(9);
        for (int crash = 0; crash < 10; crash++) {
            crashes.recordCrash(request, crash * 1_000);
            crashes.recordCrash(request, crash * 1_000 + 100);
            crashes.recordCompleted(request);
        }
        crashes.recordCrash(request, 10_000);

        assertThat(crashes.refused(request, 10_000)).isFalse();
    }
}
