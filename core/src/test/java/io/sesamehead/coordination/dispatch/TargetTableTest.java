package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.replica.ReplicaKey;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against calls sent to a group that has stopped, and against false alarms on slow ones. */
final class TargetTableTest {
    private static final TargetKey GROUP = TargetKey.of(ReplicaKey.of("big", 7));
    private static final long EVENT_MILLIS = 50;

    private final TargetTable table = new TargetTable();

    private long stream(long fromMillis, int events, long interval) {
        long now = fromMillis;
        for (int i = 0; i < events; i++) {
            now += interval;
            table.recordProgress(GROUP, now);
        }
        return now;
    }

    @Test
    void silentGroupIsSuspectedWithinSixTenthsOfASecond() {
        table.recordSent(GROUP, 0);
        long last = stream(0, 20, EVENT_MILLIS);

        assertThat(table.findStalled(last + 300)).isEmpty();
        assertThat(table.findStalled(last + 500)).containsExactly(GROUP);
        assertThat(table.isSuspected(GROUP, last + 600)).isTrue();
    }

    @Test
    void groupThatIsFiveTimesSlowIsNoFalseAlarm() {
        table.recordSent(GROUP, 0);
        long now = 0;
        for (int i = 0; i < 40; i++) {
            now += 5 * EVENT_MILLIS;
            assertThat(table.findStalled(now - 1)).isEmpty();
            table.recordProgress(GROUP, now);
        }
    }

    @Test
    void progressThatAnotherDaemonSeesClearsTheGroupButNotTheOwnPath() {
        table.recordSent(GROUP, 0);
        long last = stream(0, 20, EVENT_MILLIS);
        long now = last + 1_100;
        table.replaceReport("other", List.of(new TargetReport(GROUP, 3, 20, false)), now);

        assertThat(table.findStalled(now)).containsExactly(GROUP);
        assertThat(table.isSuspected(GROUP, now)).isFalse();
    }

    @Test
    void suspicionOfAnotherDaemonCounts() {
        table.replaceReport("other", List.of(new TargetReport(GROUP, 3, 700, true)), 10);

        assertThat(table.isSuspected(GROUP, 20)).isTrue();
    }

    @Test
    void suspicionEndsByItself() {
        table.recordSent(GROUP, 0);
        table.findStalled(1_000);
        table.recordEnded(GROUP);

        assertThat(table.isSuspected(GROUP, 1_001)).isTrue();
        assertThat(table.isSuspected(GROUP, 10_000)).isFalse();
    }

    /** Guards against each call waiting for a connection to the same target that takes none. */
    @Test
    void unreachableTargetIsLeftOutAndTestedAtGrowingIntervals() {
        table.recordSent(GROUP, 0);
        table.recordUnreachable(GROUP, 800);
        assertThat(table.isUsable(GROUP, 801)).isFalse();
        assertThat(table.isUsable(GROUP, 1_801)).isTrue();

        table.recordUnreachable(GROUP, 2_000);
        assertThat(table.isUsable(GROUP, 3_900)).isFalse();
        assertThat(table.isUsable(GROUP, 4_001)).isTrue();

        table.recordProgress(GROUP, 4_100);
        table.recordUnreachable(GROUP, 5_000);
        assertThat(table.isUsable(GROUP, 6_001)).isTrue();
    }

    /** Guards against a daemon that is cut off itself taking a target away from all others. */
    @Test
    void unreachableTargetIsNotReportedAsStopped() {
        table.recordSent(GROUP, 0);
        table.recordUnreachable(GROUP, 800);

        assertThat(table.isSuspected(GROUP, 810)).isFalse();
        assertThat(table.localReports(810)).noneMatch(TargetReport::suspected);
    }

    /** Guards against a suspicion that outlives the report that carried it. */
    @Test
    void suspicionOfAnotherDaemonEndsWithItsNextReport() {
        table.replaceReport("other", List.of(new TargetReport(GROUP, 3, 700, true)), 10);
        table.replaceReport("third", List.of(new TargetReport(GROUP, 1, 700, true)), 10);
        table.replaceReport("other", List.of(new TargetReport(GROUP, 3, 10, false)), 160);
        assertThat(table.isSuspected(GROUP, 170)).isTrue();

        table.replaceReport("third", List.of(), 170);
        assertThat(table.isSuspected(GROUP, 180)).isFalse();
    }

    /** Guards against a relay that counts calls twice or hides the only daemon that hears a group. */
    @Test
    void sumsHoldTheChosenSendersAndThisDaemon() {
        table.recordSent(GROUP, 0);
        table.replaceReport("leaf", List.of(new TargetReport(GROUP, 3, 100, false)), 50);
        table.replaceReport("relay", 40, List.of(new TargetReport(GROUP, 30, 20, true)), 50);

        assertThat(table.aggregate("leaf"::equals, 90)).containsExactly(new TargetReport(GROUP, 4, 90, false));
        assertThat(table.aggregate(sender -> true, 90)).containsExactly(new TargetReport(GROUP, 34, 60, true));
        assertThat(table.peerCount()).isEqualTo(41);
        assertThat(table.daemonCount("leaf"::equals)).isEqualTo(1);
    }

    /** Guards against a healthy group that is given up because sums over many daemons come later than reports. */
    @Test
    void groupThatOthersHearIsNotSuspectedForTheAgeOfTheirSums() {
        table.recordSent(GROUP, 0);
        long lastHeardElsewhere = 500;
        table.replaceReport(
                "all daemons", 120, List.of(new TargetReport(GROUP, 30, 300, false)), lastHeardElsewhere + 300);

        assertThat(table.findStalled(lastHeardElsewhere + 450)).isEmpty();
        assertThat(table.findStalled(lastHeardElsewhere + 950)).containsExactly(GROUP);
        assertThat(table.isSuspected(GROUP, lastHeardElsewhere + 950)).isTrue();
    }

    @Test
    void ownPauseIsNotTheGroupsSilence() {
        table.recordSent(GROUP, 0);
        long last = stream(0, 20, EVENT_MILLIS);
        table.compensatePause(900);

        assertThat(table.findStalled(last + 1_000)).isEmpty();
    }

    @Test
    void loadIsTheSumOverDaemonsAndOutdatedReportsFade() {
        table.recordSent(GROUP, 0);
        table.replaceReport("b", List.of(new TargetReport(GROUP, 4, 0, false)), 10);
        table.replaceReport("c", List.of(new TargetReport(GROUP, 5, 0, false)), 10);
        assertThat(table.inFlight(GROUP)).isEqualTo(10);

        table.replaceReport("b", List.of(new TargetReport(GROUP, 1, 0, false)), 200);
        assertThat(table.inFlight(GROUP)).isEqualTo(7);
        table.findStalled(1_300);

        assertThat(table.inFlight(GROUP)).isEqualTo(2);
    }
}
