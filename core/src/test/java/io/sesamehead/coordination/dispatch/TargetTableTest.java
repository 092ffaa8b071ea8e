package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.replica.ReplicaKey;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against calls sent to a stalled group, and against false suspicions of slow ones. */
final class TargetTableTest {
    private static final TargetKey GROUP = TargetKey.of(ReplicaKey.of("big", 7));
    private static final long EVENT_MILLIS = 50;
    private static final long CHECK_MILLIS = 50;
    private static final long REPORT_MILLIS = 150;
    private static final long SOUND_SILENCE_MILLIS = 1_500;
    private static final long AGGREGATE_AGE_MILLIS = 500;

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
    void suspectsSilentGroupWithin600Millis() {
        table.recordSent(GROUP, 0);
        long last = stream(0, 20, EVENT_MILLIS);

        assertThat(table.findStalled(last + 300)).isEmpty();
        assertThat(table.findStalled(last + 500)).containsExactly(GROUP);
        assertThat(table.isSuspected(GROUP, last + 600)).isTrue();
    }

    @Test
    void doesNotSuspectGroupFiveTimesSlower() {
        table.recordSent(GROUP, 0);
        long now = 0;
        for (int i = 0; i < 40; i++) {
            now += 5 * EVENT_MILLIS;
            assertThat(table.findStalled(now - 1)).isEmpty();
            table.recordProgress(GROUP, now);
        }
    }

    @Test
    void progressSeenByPeerPreventsSuspicionButNotLocalStall() {
        table.recordSent(GROUP, 0);
        long last = stream(0, 20, EVENT_MILLIS);
        long now = last + 1_100;
        table.replaceReport("other", List.of(new TargetReport(GROUP, 3, 20, false)), now);

        assertThat(table.findStalled(now)).containsExactly(GROUP);
        assertThat(table.isSuspected(GROUP, now)).isFalse();
    }

    @Test
    void suspectsTargetReportedByPeer() {
        table.replaceReport("other", List.of(new TargetReport(GROUP, 3, 700, true)), 10);

        assertThat(table.isSuspected(GROUP, 20)).isTrue();
    }

    @Test
    void suspicionExpires() {
        table.recordSent(GROUP, 0);
        table.findStalled(1_000);
        table.recordEnded(GROUP);

        assertThat(table.isSuspected(GROUP, 1_001)).isTrue();
        assertThat(table.isSuspected(GROUP, 10_000)).isFalse();
    }

    /** Guards against every call waiting for a connection to the same target when it accepts none. */
    @Test
    void unreachableTargetIsRetriedWithGrowingBackoff() {
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

    /** Guards against a daemon that is itself partitioned making all other daemons avoid a target. */
    @Test
    void unreachableTargetIsNotReportedAsSuspected() {
        table.recordSent(GROUP, 0);
        table.recordUnreachable(GROUP, 800);

        assertThat(table.isSuspected(GROUP, 810)).isFalse();
        assertThat(table.localReports(810)).noneMatch(TargetReport::suspected);
    }

    /** Guards against a suspicion that outlives the report that contained it. */
    @Test
    void suspicionOfPeerEndsWithItsNextReport() {
        table.replaceReport("other", List.of(new TargetReport(GROUP, 3, 700, true)), 10);
        table.replaceReport("third", List.of(new TargetReport(GROUP, 1, 700, true)), 10);
        table.replaceReport("other", List.of(new TargetReport(GROUP, 3, 850, false)), 160);
        assertThat(table.isSuspected(GROUP, 170)).isTrue();

        table.replaceReport("third", List.of(), 170);
        assertThat(table.isSuspected(GROUP, 180)).isFalse();
    }

    /** Guards against a relay that counts calls twice or hides the only daemon that sees progress of a group. */
    @Test
    void aggregatesSelectedSendersAndThisDaemon() {
        table.recordSent(GROUP, 0);
        table.recordProgress(GROUP, 0);
        table.replaceReport("leaf", List.of(new TargetReport(GROUP, 3, 100, false)), 50);
        table.replaceReport("relay", 40, List.of(new TargetReport(GROUP, 30, 20, true)), 50);

        assertThat(table.aggregate("leaf"::equals, 90)).containsExactly(new TargetReport(GROUP, 4, 90, false));
        assertThat(table.aggregate(sender -> true, 90)).containsExactly(new TargetReport(GROUP, 34, 60, true));
        assertThat(table.peerCount()).isEqualTo(41);
        assertThat(table.daemonCount("leaf"::equals)).isEqualTo(1);
    }

    /** Guards against suspecting a healthy group because aggregates over many daemons arrive later than reports. */
    @Test
    void toleratesAgeOfAggregates() {
        table.recordSent(GROUP, 0);
        long lastProgressAtPeer = 500;
        table.replaceReport(
                "all daemons", 120, List.of(new TargetReport(GROUP, 30, 300, false)), lastProgressAtPeer + 300);

        assertThat(table.findStalled(lastProgressAtPeer + 450)).isEmpty();
        assertThat(table.findStalled(lastProgressAtPeer + 950)).containsExactly(GROUP);
        assertThat(table.isSuspected(GROUP, lastProgressAtPeer + 950)).isTrue();
    }

    @Test
    void pauseOfThisProcessIsNotAStall() {
        table.recordSent(GROUP, 0);
        long last = stream(0, 20, EVENT_MILLIS);
        table.compensatePause(900);

        assertThat(table.findStalled(last + 1_000)).isEmpty();
    }

    @Test
    void sumsLoadOverDaemonsAndExpiresReports() {
        table.recordSent(GROUP, 0);
        table.replaceReport("b", List.of(new TargetReport(GROUP, 4, 0, false)), 10);
        table.replaceReport("c", List.of(new TargetReport(GROUP, 5, 0, false)), 10);
        assertThat(table.inFlight(GROUP)).isEqualTo(10);

        table.replaceReport("b", List.of(new TargetReport(GROUP, 1, 0, false)), 200);
        assertThat(table.inFlight(GROUP)).isEqualTo(7);
        table.findStalled(1_300);

        assertThat(table.inFlight(GROUP)).isEqualTo(2);
    }

    /** Guards against giving up a sound group: it may be silent for up to 1.5 s, at any phase of the checks. */
    @Test
    void soundSilenceIsNotALossAtAnyPhase() {
        for (long phase = 0; phase < CHECK_MILLIS; phase++) {
            TargetTable checked = new TargetTable();
            checked.recordSent(GROUP, 0);
            checked.recordProgress(GROUP, phase);
            for (long now = 0; now < phase + SOUND_SILENCE_MILLIS; now += CHECK_MILLIS) {
                checked.findStalled(now);
                assertThat(checked.isLost(GROUP, now)).isFalse();
            }
            checked.recordProgress(GROUP, phase + SOUND_SILENCE_MILLIS);
            assertThat(checked.isSuspected(GROUP, phase + SOUND_SILENCE_MILLIS)).isFalse();
            assertThat(checked.isLost(GROUP, phase + SOUND_SILENCE_MILLIS)).isFalse();
        }
    }

    @Test
    void deadGroupIsSuspectedFirstAndLostLater() {
        table.recordSent(GROUP, 0);
        long last = stream(0, 20, EVENT_MILLIS);

        checkUntil(last, last + 450);
        assertThat(table.isUsable(GROUP, last + 450)).isFalse();
        assertThat(table.isOnlySilent(GROUP, last + 450)).isTrue();
        checkUntil(last + 450, last + 2_050);
        assertThat(table.isLost(GROUP, last + 2_050)).isTrue();
        assertThat(table.isOnlySilent(GROUP, last + 2_050)).isFalse();
    }

    /** Guards against a loss of a sound group that had no calls in flight for most of its silence. */
    @Test
    void silenceWithoutCallsIsNotALoss() {
        table.recordSent(GROUP, 0);
        long last = stream(0, 20, EVENT_MILLIS);
        checkUntil(last, last + 500);
        table.recordEnded(GROUP);
        checkUntil(last + 500, last + 1_900);
        table.recordSent(GROUP, last + 1_900);
        checkUntil(last + 1_900, last + 2_300);

        assertThat(table.isLost(GROUP, last + 2_300)).isFalse();
    }

    /** Guards against a controller without calls of its own at a dead group, which would never replace it. */
    @Test
    void daemonWithoutOwnCallsFindsLossFromReports() {
        for (long now = 0; now <= 2_100; now += CHECK_MILLIS) {
            if (now % REPORT_MILLIS == 0) {
                table.replaceReport("other", List.of(new TargetReport(GROUP, 3, 300 + now, now >= 150)), now);
            }
            table.findStalled(now);
            assertThat(table.isLost(GROUP, now)).as("lost at %s ms", now).isEqualTo(now > 2_000);
        }
    }

    /** Guards against calls of other daemons that are sent to a dead group one after another and hide its silence. */
    @Test
    void newCallsOfPeersAreNotProgress() {
        TargetTable fresh = new TargetTable();
        table.recordSent(GROUP, 0);
        long last = stream(0, 20, EVENT_MILLIS);
        for (long now = last; now <= last + 2_050; now += CHECK_MILLIS) {
            if ((now - last) % REPORT_MILLIS == 0) {
                fresh.recordSent(GROUP, now);
                table.replaceReport("fresh", fresh.localReports(now + 10), now + 10);
                fresh.recordEnded(GROUP);
            }
            table.findStalled(now);
        }

        assertThat(table.isLost(GROUP, last + 2_050)).isTrue();
    }

    /** Guards against avoiding a group for seconds after its silence has ended at another daemon. */
    @Test
    void progressAtPeerEndsSuspicion() {
        table.recordSent(GROUP, 0);
        long last = stream(0, 20, EVENT_MILLIS);
        checkUntil(last, last + 1_000);
        table.replaceReport("third", List.of(new TargetReport(GROUP, 1, 1_000, true)), last + 1_000);
        assertThat(table.isSuspected(GROUP, last + 1_000)).isTrue();

        table.replaceReport("other", List.of(new TargetReport(GROUP, 3, 10, false)), last + 1_050);
        assertThat(table.isSuspected(GROUP, last + 1_050)).isFalse();
        assertThat(table.isUsable(GROUP, last + 1_050)).isTrue();
    }

    /** Guards against other daemons that go on suspecting a group whose only call completed here. */
    @Test
    void completedCallIsReportedAsProgress() {
        table.recordSent(GROUP, 0);
        table.recordProgress(GROUP, 100);
        table.recordEnded(GROUP);

        assertThat(table.localReports(200)).containsExactly(new TargetReport(GROUP, 0, 100, false));
        assertThat(table.localReports(600)).isEmpty();
    }

    /** Guards against losing a sound group because aggregates tell of its progress half a second late. */
    @Test
    void soundSilenceIsNotALossWithAggregates() {
        table.recordSent(GROUP, 0);
        for (long now = 0; now <= AGGREGATE_AGE_MILLIS + SOUND_SILENCE_MILLIS; now += CHECK_MILLIS) {
            long reported = Math.max(0, now - AGGREGATE_AGE_MILLIS);
            long progress = Math.min(reported, 100);
            table.replaceReport("all daemons", 120, List.of(new TargetReport(GROUP, 30, now - progress, false)), now);
            table.findStalled(now);
            assertThat(table.isLost(GROUP, now)).as("lost at %s ms", now).isFalse();
        }
        long end = AGGREGATE_AGE_MILLIS + SOUND_SILENCE_MILLIS + CHECK_MILLIS;
        assertThat(table.isSuspected(GROUP, end)).isTrue();

        table.replaceReport("all daemons", 120, List.of(new TargetReport(GROUP, 30, AGGREGATE_AGE_MILLIS, false)), end);
        assertThat(table.isSuspected(GROUP, end)).isFalse();
    }

    /** Guards against giving up a sound group because the only caller of its calls reads slowly. */
    @Test
    void pausedCallIsNoEvidenceOfSilence() {
        table.recordSent(GROUP, 0);
        table.recordProgress(GROUP, 100);
        table.recordPaused(GROUP);
        for (long now = 100; now <= 5_000; now += CHECK_MILLIS) {
            assertThat(table.findStalled(now)).isEmpty();
            assertThat(table.isLost(GROUP, now)).isFalse();
        }
        assertThat(table.inFlight(GROUP)).isEqualTo(1);
        assertThat(table.localReports(5_000)).isEmpty();

        table.recordResumed(GROUP, 5_000);
        checkUntil(5_000, 5_300);
        assertThat(table.isSuspected(GROUP, 5_300)).isFalse();
        checkUntil(5_300, 5_500);
        assertThat(table.isSuspected(GROUP, 5_500)).isTrue();
    }

    private void checkUntil(long fromMillis, long untilMillis) {
        for (long now = fromMillis; now <= untilMillis; now += CHECK_MILLIS) {
            table.findStalled(now);
        }
    }
}
