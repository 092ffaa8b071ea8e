package io.sesamehead.coordination.drain;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a planned stop that leaves no time for last answers, or ends calls before their upstreams must. */
final class StopScheduleTest {
    private static final long BEGAN_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 8_000;

    private final StopSchedule stop = new StopSchedule(BEGAN_MILLIS, GRACE_MILLIS);

    @Test
    void refusesOnceOutOfRotationAndAnswersBeforeExit() {
        assertThat(stop.phase(BEGAN_MILLIS + 2_299)).isEqualTo(StopSchedule.Phase.ACCEPTING);
        assertThat(stop.phase(BEGAN_MILLIS + 2_300)).isEqualTo(StopSchedule.Phase.REFUSING);
        assertThat(stop.phase(BEGAN_MILLIS + 7_399)).isEqualTo(StopSchedule.Phase.REFUSING);
        assertThat(stop.phase(BEGAN_MILLIS + 7_400)).isEqualTo(StopSchedule.Phase.ANSWERING);
        assertThat(stop.phase(BEGAN_MILLIS + 7_600)).isEqualTo(StopSchedule.Phase.EXITING);
    }

    /** Calls that end earlier count as cut off although their upstreams were at work. */
    @Test
    void endsOpenCallsOnlyInLastSixthOfAnyGrace() {
        for (long grace = 50; grace <= 60_000; grace += 50) {
            StopSchedule schedule = new StopSchedule(0, grace);
            assertThat(schedule.phase(grace * 5 / 6)).isLessThan(StopSchedule.Phase.ANSWERING);
            assertThat(schedule.phase(grace)).isEqualTo(StopSchedule.Phase.EXITING);
        }
    }

    @Test
    void allowsOnlyAttemptsThatCanEndBeforeLastAnswers() {
        assertThat(stop.allowsAttempt(BEGAN_MILLIS, Long.MAX_VALUE, 7_400)).isTrue();
        assertThat(stop.allowsAttempt(BEGAN_MILLIS, Long.MAX_VALUE, 7_401)).isFalse();
        assertThat(stop.allowsAttempt(BEGAN_MILLIS + 7_000, Long.MAX_VALUE, 400))
                .isTrue();
        assertThat(stop.allowsAttempt(BEGAN_MILLIS + 7_001, Long.MAX_VALUE, 400))
                .isFalse();
        assertThat(stop.allowsAttempt(BEGAN_MILLIS + 7_400, Long.MAX_VALUE, 0)).isFalse();
    }

    @Test
    void upstreamsEndBeforeLastAnswers() {
        assertThat(stop.upstreamDeadlineMillis(BEGAN_MILLIS + 7_299)).isEqualTo(BEGAN_MILLIS + 7_299);
        assertThat(stop.upstreamDeadlineMillis(BEGAN_MILLIS + 20_000)).isEqualTo(BEGAN_MILLIS + 7_300);
    }

    @Test
    void allowsAttemptsThatEndAtTheirDeadlineBeforeLastAnswers() {
        assertThat(stop.allowsAttempt(BEGAN_MILLIS, BEGAN_MILLIS + 7_400, 9_000))
                .isTrue();
        assertThat(stop.allowsAttempt(BEGAN_MILLIS, BEGAN_MILLIS + 7_401, 9_000))
                .isFalse();
    }
}
