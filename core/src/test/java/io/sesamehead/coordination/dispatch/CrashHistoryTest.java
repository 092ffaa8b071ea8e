package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a request that crashes every upstream it reaches, and against refusing requests that do not. */
final class CrashHistoryTest {
    private static final CrashSubject REQUEST = new CrashSubject(9);
    private static final CrashSubject OTHER = new CrashSubject(8);
    private static final long LATER_MILLIS = 300_000;

    private final CrashHistory crashes = new CrashHistory();

    /** Records a crash of an attempt that was sent 20 ms earlier. */
    private static void recordCrash(CrashHistory history, CrashSubject request, TargetKey target, long nowMillis) {
        history.recordCrash(request, target, nowMillis - 20, nowMillis);
    }

    private static TargetKey target(int number) {
        return new TargetKey("target-" + number, 1);
    }

    @Test
    void refusesRequestAfterThirdCrashUntilRetentionEnds() {
        recordCrash(crashes, REQUEST, target(1), 0);
        recordCrash(crashes, REQUEST, target(2), 1_000);
        assertThat(crashes.isRefused(REQUEST, 1_000)).isFalse();

        recordCrash(crashes, REQUEST, target(3), 2_000);

        assertThat(crashes.isRefused(REQUEST, 2_000)).isTrue();
        assertThat(crashes.isRefused(OTHER, 2_000)).isFalse();
        assertThat(crashes.isRefused(REQUEST, 2_000 + 600_001)).isFalse();
    }

    /** Guards against restarting the count for a request that is retried after more than a minute. */
    @Test
    void refusesRequestRetriedMinutesLater() {
        for (int crash = 0; crash < 3; crash++) {
            recordCrash(crashes, REQUEST, target(crash), crash * 70_000);
        }

        assertThat(crashes.isRefused(REQUEST, LATER_MILLIS)).isTrue();
    }

    /** The crash of one engine can end several attempts of the same request. */
    @Test
    void countsAttemptsOfOneCrashOnce() {
        for (int attempt = 0; attempt < 5; attempt++) {
            recordCrash(crashes, REQUEST, target(1), 1_000 + attempt);
        }

        assertThat(crashes.crashCount(REQUEST, 1_005)).isEqualTo(1);
    }

    /**
     * Guards against counting an engine that restarts under its name only once, however often the request crashes it.
     */
    @Test
    void countsCrashesOfUnlistedIncarnations() {
        for (int incarnation = 0; incarnation < 3; incarnation++) {
            crashes.recordCrash(REQUEST, target(1), incarnation * 1_000 + 100, incarnation * 1_000 + 120);
        }

        assertThat(crashes.isRefused(REQUEST, 3_000)).isTrue();
    }

    /**
     * When many callers request one path without a body, some of these requests are in flight when an upstream
     * crashes.
     */
    @Test
    void completedRequestIsNotRefusedForEarlierCrashes() {
        for (int crash = 0; crash < 10; crash++) {
            recordCrash(crashes, REQUEST, target(2 * crash), crash * 1_000);
            recordCrash(crashes, REQUEST, target(2 * crash + 1), crash * 1_000 + 100);
            crashes.recordCompleted(REQUEST, crash * 1_000 + 200);
        }
        recordCrash(crashes, REQUEST, target(100), 10_000);

        assertThat(crashes.isRefused(REQUEST, 10_000)).isFalse();
    }

    @Test
    void mergeIgnoresOrderAndRepetitionOfReports() {
        for (long seed = 1; seed <= 50; seed++) {
            List<CrashReport> reports = new ArrayList<>();
            for (int crash = 0; crash < 3; crash++) {
                CrashHistory sender = new CrashHistory();
                recordCrash(sender, REQUEST, target(crash), 1_000);
                reports.addAll(sender.nextReport(1_000));
                reports.addAll(sender.nextReport(1_150));
            }
            Collections.shuffle(reports, new Random(seed));
            CrashHistory receiver = new CrashHistory();
            reports.forEach(report -> receiver.merge(report, 5_000));
            reports.forEach(report -> receiver.merge(report, 9_000));

            assertThat(receiver.crashCount(REQUEST, 9_000)).isEqualTo(3);
        }
    }

    @Test
    void resendsRefusedRequestAmongManyInnocentOnes() {
        for (int innocent = 0; innocent < 2_000; innocent++) {
            recordCrash(crashes, new CrashSubject(1_000 + innocent), target(innocent % 10), innocent);
        }
        for (int crash = 0; crash < 3; crash++) {
            recordCrash(crashes, REQUEST, target(crash), 3_000);
        }
        long now = 3_000;
        while (now < 200_000) {
            crashes.nextReport(now);
            now += 150;
        }
        CrashHistory returned = new CrashHistory();
        for (long end = now + 1_200; now < end; now += 150) {
            long at = now;
            crashes.nextReport(now).forEach(report -> returned.merge(report, at));
        }

        assertThat(returned.isRefused(REQUEST, now)).isTrue();
    }

    @Test
    void lossOfADomainPushesOutInnocentRequestsFirst() {
        for (int crash = 0; crash < 3; crash++) {
            recordCrash(crashes, REQUEST, target(crash), crash);
        }
        for (int innocent = 0; innocent < 20_000; innocent++) {
            recordCrash(crashes, new CrashSubject(1_000 + innocent), target(innocent % 10), 1_000 + innocent);
        }

        assertThat(crashes.isRefused(REQUEST, 30_000)).isTrue();
        CrashSubject last = new CrashSubject(1_000 + 19_999);
        assertThat(crashes.crashCount(last, 30_000)).isEqualTo(1);
    }

    @Test
    void completionClearsCrashesAtOtherDaemons() {
        CrashHistory other = new CrashHistory();
        for (int crash = 0; crash < 3; crash++) {
            recordCrash(crashes, REQUEST, target(crash), 1_000);
        }
        List<CrashReport> old = crashes.nextReport(1_000);
        old.forEach(report -> other.merge(report, 1_000));
        assertThat(other.isRefused(REQUEST, 1_000)).isTrue();

        crashes.recordCompleted(REQUEST, 2_000);
        crashes.nextReport(2_000).forEach(report -> other.merge(report, 2_000));
        old.forEach(report -> other.merge(report, 1_050));

        assertThat(other.crashCount(REQUEST, 2_100)).isZero();
        assertThat(crashes.crashCount(REQUEST, 2_100)).isZero();
    }
}
