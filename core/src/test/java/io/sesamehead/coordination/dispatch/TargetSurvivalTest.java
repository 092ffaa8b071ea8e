package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.replica.MemberState;
import io.sesamehead.coordination.replica.Membership;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against taking lost answers for crashes, and against taking back crashes that happened. */
final class TargetSurvivalTest {
    private static final CrashSubject REQUEST = new CrashSubject(9);
    private static final long HEARTBEAT_MILLIS = 1_200;
    /** Time from a loss until the entry of an upstream that has crashed has been removed, in milliseconds. */
    private static final long PROOF_MILLIS = 4_600;

    /** Time by which a report is late, in milliseconds. */
    private static final long LATE_MILLIS = 2_500;

    private static final long STEP_MILLIS = 100;
    private static final int TARGETS = 3;

    private final CrashHistory history = new CrashHistory();
    private final TargetSurvival survival = new TargetSurvival(HEARTBEAT_MILLIS);
    private final RequestCrashes requests = new RequestCrashes(history, survival, new DaemonId("d"));
    private final Map<TargetKey, Long> progress = new HashMap<>();
    private final List<UpstreamEntry> entries = new ArrayList<>();
    private long now;

    @BeforeEach
    void listTargets() {
        for (int number = 0; number < TARGETS; number++) {
            entries.add(entry(number, 1));
        }
        observe();
    }

    private void observe() {
        Set<TargetKey> serving = new HashSet<>();
        entries.forEach(entry -> serving.add(TargetKey.of(entry.id(), entry.startedAtEpochMillis())));
        survival.observe(serving, entries, now);
    }

    private static UpstreamEntry entry(int number, long startedAtEpochMillis) {
        return entry(number, startedAtEpochMillis, Optional.empty());
    }

    private static UpstreamEntry member(ReplicaKey group, MemberState state) {
        return entry(TARGETS, 1, Optional.of(new Membership(group, 1, state)));
    }

    private static UpstreamEntry entry(int number, long startedAtEpochMillis, Optional<Membership> membership) {
        return new UpstreamEntry(
                new InstanceId("i-" + number),
                startedAtEpochMillis,
                0,
                new ServiceName("desk"),
                new Endpoint("127.0.0.1", 80),
                new FailureDomain("a"),
                6,
                false,
                "",
                List.of(),
                List.of(),
                membership);
    }

    private static TargetKey target(int number) {
        return TargetKey.of(new InstanceId("i-" + number), 1);
    }

    private void loseAnswerAtEachTarget() {
        for (int number = 0; number < TARGETS; number++) {
            history.recordCrash(REQUEST, target(number), now - 20, now);
        }
    }

    /** Lets time pass while the store answers, with progress at the first targets. */
    private void pass(long millis, int progressing) {
        for (long end = now + millis; now < end; now += STEP_MILLIS) {
            for (int number = 0; number < progressing; number++) {
                progress.put(target(number), now);
            }
            survival.recordListed(now);
            refute(history);
        }
    }

    private void refute(CrashHistory crashes) {
        crashes.refuteCrashes(survival, key -> progress.getOrDefault(key, Long.MIN_VALUE / 2), now);
    }

    @Test
    void lostAnswersOfTargetsThatGoOnAreTakenBack() {
        loseAnswerAtEachTarget();
        assertThat(requests.mustRefuse(REQUEST, now)).isTrue();
        assertThat(requests.retryAfterMillis(REQUEST, now)).isEqualTo(PROOF_MILLIS);

        pass(PROOF_MILLIS + 2 * STEP_MILLIS, TARGETS);

        assertThat(history.crashCount(REQUEST, now)).isZero();
        assertThat(requests.mustRefuse(REQUEST, now)).isFalse();
    }

    /** Guards against delayed reports that make refuted crashes seem younger than their survivors, again and again. */
    @Test
    void lateReportDoesNotBringBackCrashesThatWereRefuted() {
        CrashHistory late = new CrashHistory();
        loseAnswerAtEachTarget();
        List<CrashReport> delayed = history.nextReport(now);
        pass(LATE_MILLIS, TARGETS);
        delayed.forEach(report -> late.merge(report, now));
        pass(PROOF_MILLIS - LATE_MILLIS + 2 * STEP_MILLIS, TARGETS);

        late.nextReport(now).forEach(report -> history.merge(report, now));
        assertThat(history.crashCount(REQUEST, now)).isZero();

        history.refusedRequests(now).forEach(report -> late.merge(report, now));
        assertThat(late.crashCount(REQUEST, now)).isZero();
    }

    /** Guards against a daemon whose wrong clock makes stored crashes so old that all daemons forget them early. */
    @Test
    void crashesAreKeptAlthoughAnotherDaemonStatesThatTheyAreOld() {
        loseAnswerAtEachTarget();
        List<CrashReport> aged = history.nextReport(now).stream()
                .map(report -> report.aged(CrashEntry.RETENTION_MILLIS - STEP_MILLIS))
                .toList();

        aged.forEach(report -> history.merge(report, now));
        now += CrashEntry.RETENTION_MILLIS / 2;

        assertThat(history.isRefused(REQUEST, now)).isTrue();
    }

    @Test
    void crashesStayWhileTheStoreStillListsTheUpstreams() {
        loseAnswerAtEachTarget();
        pass(PROOF_MILLIS - STEP_MILLIS, TARGETS);

        assertThat(history.isRefused(REQUEST, now)).isTrue();
    }

    /** An upstream that restarts under its id answers calls as well, but its entry shows the later start. */
    @Test
    void crashOfUpstreamThatComesBackUnderItsIdStays() {
        loseAnswerAtEachTarget();
        entries.replaceAll(entry -> entry(entries.indexOf(entry), 2));
        observe();
        pass(2 * PROOF_MILLIS, TARGETS);

        assertThat(history.crashCount(REQUEST, now)).isEqualTo(TARGETS);
    }

    /** The entry of an upstream that was cut off or lost power may outlive it. */
    @Test
    void crashOfUpstreamThatIsListedAndSilentStays() {
        loseAnswerAtEachTarget();
        pass(2 * PROOF_MILLIS, 1);

        assertThat(history.crashCount(REQUEST, now)).isEqualTo(TARGETS - 1);
    }

    /**
     * A daemon that starts after the head of a group has crashed sees only the other members, which go on and change their
     * entries as they leave the group.
     */
    @Test
    void crashOfGroupThatWasNeverSeenToServeStays() {
        ReplicaKey group = new ReplicaKey("group", 7);
        history.recordCrash(REQUEST, TargetKey.of(group), now - 20, now);
        for (MemberState state : List.of(MemberState.READY, MemberState.CLOSING)) {
            entries.add(member(group, state));
            observe();
            entries.remove(entries.size() - 1);
            now += STEP_MILLIS;
        }
        entries.add(entry(TARGETS, 1));
        observe();
        pass(2 * PROOF_MILLIS, TARGETS);

        assertThat(history.crashCount(REQUEST, now)).isEqualTo(1);
    }

    /** Entries do not expire while the store is away, so that their presence proves nothing for a while. */
    @Test
    void crashStaysWhileTheStoreHasBeenAway() {
        loseAnswerAtEachTarget();
        now += 2 * PROOF_MILLIS;
        pass(PROOF_MILLIS - 2 * STEP_MILLIS, TARGETS);
        assertThat(history.isRefused(REQUEST, now)).isTrue();

        pass(4 * STEP_MILLIS, TARGETS);

        assertThat(history.isRefused(REQUEST, now)).isFalse();
    }

    /** A daemon of an earlier build, a late report or a stored object still lists crashes that were taken back. */
    @Test
    void reportsThatDoNotKnowOfTheSurvivorsDoNotBringCrashesBack() {
        loseAnswerAtEachTarget();
        List<CrashReport> old = history.nextReport(now);
        pass(PROOF_MILLIS + 2 * STEP_MILLIS, TARGETS);
        CrashHistory started = new CrashHistory();
        history.nextReport(now).forEach(report -> started.merge(report, now));
        for (CrashReport report : old) {
            CrashReport late = report.aged(PROOF_MILLIS);
            history.merge(late, now);
            started.merge(late, now);
        }

        assertThat(history.crashCount(REQUEST, now)).isZero();
        assertThat(started.crashCount(REQUEST, now)).isZero();
    }

    @Test
    void laterCrashOfSurvivorCounts() {
        loseAnswerAtEachTarget();
        pass(PROOF_MILLIS + 2 * STEP_MILLIS, TARGETS);
        loseAnswerAtEachTarget();
        entries.clear();
        observe();
        pass(2 * PROOF_MILLIS, 0);

        assertThat(history.isRefused(REQUEST, now)).isTrue();
    }

    /** The store keeps the survivors of a request that it lists, for daemons that start after all others have ended. */
    @Test
    void storedRecordTakesCrashesBack() {
        loseAnswerAtEachTarget();
        assertThat(history.takeRefusalsChanged(now)).isTrue();
        List<CrashReport> stored = history.refusedRequests(now);
        pass(PROOF_MILLIS + 2 * STEP_MILLIS, TARGETS);
        assertThat(history.takeRefusalsChanged(now)).isTrue();

        CrashHistory started = new CrashHistory();
        history.refusedRequests(now).forEach(report -> started.merge(report, now));
        stored.forEach(report -> started.merge(report.aged(PROOF_MILLIS), now));

        assertThat(started.crashCount(REQUEST, now)).isZero();
    }

    /** At most three retries may follow the third crash; two trials leave one for a call that is on its way. */
    @Test
    void refusedRequestIsTriedTwice() {
        loseAnswerAtEachTarget();
        int trials = 0;
        for (; now < 500_000; now += STEP_MILLIS) {
            if (!requests.mustRefuse(REQUEST, now)) {
                requests.recordAdmitted(REQUEST, now);
                history.recordCrash(REQUEST, new TargetKey("trial-" + trials, 1), now, now + 1);
                trials++;
            }
        }

        assertThat(trials).isEqualTo(2);
        assertThat(requests.mustRefuse(REQUEST, now)).isTrue();
    }
}
