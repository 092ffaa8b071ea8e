package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.DaemonId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against sending on calls with a part that crashes groups, and against refusing the parts of calls that a group
 * was running when it crashed for another reason.
 */
final class PromptPartCrashesTest {
    private static final CrashSubject CRASHING = CrashSubject.ofPromptPart(new PromptPart("dead"));
    private static final CrashSubject POPULAR = CrashSubject.ofPromptPart(new PromptPart("5c1e"));
    private static final List<CrashSubject> CRASHING_CALL = List.of(POPULAR, CRASHING);
    private static final List<CrashSubject> HARMLESS_CALL = List.of(POPULAR);
    private static final long START = 100_000;
    /** Time for reports of other daemons, in milliseconds. */
    private static final long SETTLED_MILLIS = 5_000;

    private final CrashHistory history = new CrashHistory();
    private final PromptPartCrashes parts = new PromptPartCrashes(history, new DaemonId("front-a-0"));

    private static TargetKey group(int number) {
        return new TargetKey("group-" + number, number);
    }

    /** Loses a call of each kind in the crash of a group, then answers a harmless call elsewhere. */
    private void crash(int number, long atMillis) {
        parts.recordLost(CRASHING_CALL, group(number), atMillis - 50, atMillis);
        parts.recordLost(HARMLESS_CALL, group(number), atMillis - 50, atMillis);
        parts.recordAnswered(HARMLESS_CALL, atMillis + 40);
    }

    @Test
    void refusesPartThatNoAnswerClears() {
        crash(1, START);
        assertThat(parts.admit(CRASHING_CALL, START + 100)).isEqualTo(new PromptPartVerdict.Suspected(CRASHING, 1));

        crash(2, START + 200);

        assertThat(parts.admit(CRASHING_CALL, START + 1_000)).isEqualTo(new PromptPartVerdict.Refused(CRASHING, 2));
        assertThat(parts.admit(HARMLESS_CALL, START + 1_000)).isEqualTo(new PromptPartVerdict.Clear());
    }

    @Test
    void countsCallsOfOneCrashOnce() {
        for (int call = 0; call < 10; call++) {
            parts.recordLost(CRASHING_CALL, group(1), START + call, START + 100 + call);
        }

        assertThat(parts.admit(CRASHING_CALL, START + SETTLED_MILLIS)).isInstanceOf(PromptPartVerdict.Suspected.class);
    }

    /** A rack takes many groups at once, some of them with calls whose answers had not begun. */
    @Test
    void doesNotBlameAnsweredPartForLossOfManyGroups() {
        parts.recordAnswered(HARMLESS_CALL, START - 500);
        for (int number = 1; number <= 9; number++) {
            parts.recordLost(HARMLESS_CALL, group(number), START - 100, START);
        }

        assertThat(parts.admit(HARMLESS_CALL, START + SETTLED_MILLIS)).isEqualTo(new PromptPartVerdict.Clear());
    }

    /** Only the other daemon has received answers, before it heard of any crash. */
    @Test
    void otherDaemonsAnswersClearPart() {
        CrashHistory otherHistory = new CrashHistory();
        PromptPartCrashes other = new PromptPartCrashes(otherHistory, new DaemonId("front-b-0"));
        other.recordAnswered(HARMLESS_CALL, START - 100);
        parts.recordLost(HARMLESS_CALL, group(1), START - 50, START);
        parts.recordLost(HARMLESS_CALL, group(2), START - 50, START);

        history.nextReport(START + 5).forEach(report -> other.merge(report, START + 6));
        otherHistory.nextReport(START + 100).forEach(report -> parts.merge(report, START + 101));

        assertThat(parts.admit(HARMLESS_CALL, START + 102)).isEqualTo(new PromptPartVerdict.Clear());
        assertThat(other.admit(HARMLESS_CALL, START + 102)).isEqualTo(new PromptPartVerdict.Clear());
    }

    @Test
    void refusesAnsweredPartOnceItCrashesGroups() {
        parts.recordAnswered(HARMLESS_CALL, START - 10_000);
        for (int number = 1; number <= 3; number++) {
            parts.recordLost(HARMLESS_CALL, group(number), START, START + 100);
        }
        assertThat(parts.admit(HARMLESS_CALL, START + SETTLED_MILLIS)).isInstanceOf(PromptPartVerdict.Suspected.class);

        parts.recordLost(HARMLESS_CALL, group(4), START, START + 100);

        assertThat(parts.admit(HARMLESS_CALL, START + SETTLED_MILLIS)).isInstanceOf(PromptPartVerdict.Refused.class);
    }

    @Test
    void triesRefusedPartOnceAndClearsItWhenAnswered() {
        crash(1, START);
        crash(2, START + 200);

        long trials = 0;
        long triedAt = 0;
        for (long now = START + 1_000; now < START + 22_000; now += 10) {
            if (parts.admit(CRASHING_CALL, now) instanceof PromptPartVerdict.Suspected) {
                trials++;
                triedAt = now;
                break;
            }
        }
        assertThat(trials).isEqualTo(1);
        assertThat(triedAt).isGreaterThan(START + 9_000);
        assertThat(parts.admit(CRASHING_CALL, triedAt + 10)).isInstanceOf(PromptPartVerdict.Refused.class);

        parts.recordAnswered(CRASHING_CALL, triedAt + 100);

        assertThat(parts.admit(CRASHING_CALL, triedAt + 101)).isEqualTo(new PromptPartVerdict.Clear());
    }

    /** Guards against a report to all daemons for each answer to a popular part. */
    @Test
    void reportsOnlyAnswersThatClearCrashes() {
        crash(1, START);
        for (int report = 0; report < 10; report++) {
            history.nextReport(START + 100 + report);
        }

        int reported = 0;
        for (long now = START + 200; now < START + 30_000; now += 100) {
            parts.recordAnswered(HARMLESS_CALL, now);
            reported += (int) history.nextReport(now).stream()
                    .filter(report -> report.subject().equals(POPULAR))
                    .count();
        }

        assertThat(reported).as("resent once a second").isLessThanOrEqualTo(30);
    }

    /** A daemon that starts reads the store, where a part must not be refused that others have cleared. */
    @Test
    void storesPartOnlyWhileItIsRefused() {
        for (int number = 1; number <= 3; number++) {
            parts.recordLost(CRASHING_CALL, group(number), START, START + 50);
        }
        assertThat(history.takeRefusalsChanged(START + 60)).isFalse();
        parts.recordAnswered(HARMLESS_CALL, START + 200);

        assertThat(history.takeRefusalsChanged(START + 600)).isTrue();
        assertThat(history.refusedRequests(START + 600))
                .extracting(CrashReport::subject)
                .containsExactly(CRASHING);

        parts.recordAnswered(CRASHING_CALL, START + 12_000);

        assertThat(history.takeRefusalsChanged(START + 12_050)).isTrue();
        assertThat(history.refusedRequests(START + 12_050)).isEmpty();
        assertThat(history.takeRefusalsChanged(START + 12_100)).isFalse();
    }

    @Test
    void endsTrialsAfterFifthCrash() {
        for (int number = 1; number <= 5; number++) {
            crash(number, START + number);
        }

        for (long now = START + SETTLED_MILLIS; now < START + 590_000; now += 500) {
            assertThat(parts.admit(CRASHING_CALL, now)).isInstanceOf(PromptPartVerdict.Refused.class);
        }
    }

    @Test
    void differsFromCallsWithSameText() {
        assertThat(CRASHING)
                .isNotEqualTo(CrashSubject.ofCall("dead", Optional.empty(), new byte[0]))
                .isNotEqualTo(POPULAR);
    }
}
