package io.sesamehead.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.state.AttemptId;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.RequestId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class SuspectTrackerTest {
    private static final long QUARANTINE = 1_000;
    private static final UpstreamId A = new UpstreamId("a");
    private static final UpstreamId B = new UpstreamId("b");
    private static final DaemonId ONE = new DaemonId("one");
    private static final DaemonId TWO = new DaemonId("two");
    private static final SuspectShare ALL = SuspectShare.of(ONE, ImmutableSet.of(ONE), ImmutableSet.of(A, B));

    private final SuspectTracker suspects = new SuspectTracker(QUARANTINE);
    private int numbers;

    private static Fingerprint print(String text) {
        return Fingerprint.of("POST", text, new byte[0]);
    }

    private AttemptId attempt() {
        numbers++;
        return new AttemptId(new RequestId("r" + numbers), 1);
    }

    @Test
    void suspectsRunApartAndInnocentOnesAreCleared() {
        suspects.tryBegin(attempt(), print("x"), A, ALL, 0);
        suspects.tryBegin(attempt(), print("y"), A, ALL, 0);
        assertThat(suspects.recordCrash(A, 0)).containsOnlyKeys(print("x"), print("y"));

        AttemptId again = attempt();
        assertThat(suspects.tryBegin(again, print("x"), B, ALL, 0)).isEqualTo(new SuspectDecision.Run());
        assertThat(suspects.tryBegin(attempt(), print("x"), A, ALL, 0)).isEqualTo(new SuspectDecision.Wait());
        assertThat(suspects.tryBegin(attempt(), print("y"), B, ALL, 0)).isEqualTo(new SuspectDecision.ChooseAnother());
        assertThat(suspects.tryBegin(attempt(), print("other"), B, ALL, 0)).isEqualTo(new SuspectDecision.Run());
        suspects.recordCompleted(again);
        assertThat(suspects.tryBegin(attempt(), print("y"), B, ALL, 0)).isEqualTo(new SuspectDecision.Run());
        assertThat(suspects.tryBegin(attempt(), print("x"), B, ALL, 0)).isEqualTo(new SuspectDecision.Run());
    }

    /** Guards against quarantining an innocent suspect that met another daemon's crashing request. */
    @Test
    void suspectsOfTwoDaemonsNeverShareAnUpstream() {
        ImmutableSet<DaemonId> daemons = ImmutableSet.of(TWO, ONE);
        SuspectShare first = SuspectShare.of(ONE, daemons, ImmutableSet.of(B, A));
        SuspectShare second = SuspectShare.of(TWO, daemons, ImmutableSet.of(A, B));
        assertThat(first.upstreams()).hasSize(1).doesNotContainAnyElementsOf(second.upstreams());
        assertThat(second.upstreams()).hasSize(1);

        UpstreamId foreign = second.upstreams().asList().getFirst();
        suspects.tryBegin(attempt(), print("x"), foreign, first, 0);
        suspects.recordCrash(foreign, 0);
        assertThat(suspects.tryBegin(attempt(), print("x"), foreign, first, 0))
                .isEqualTo(new SuspectDecision.ChooseAnother());
        assertThat(suspects.tryBegin(attempt(), print("other"), foreign, first, 0))
                .isEqualTo(new SuspectDecision.Run());
    }

    /** Guards against suspects that wait for ever at a daemon without a share. */
    @Test
    void daemonWithoutShareUsesAllUpstreams() {
        DaemonId leaving = new DaemonId("zero");
        ImmutableSet<UpstreamId> assigned = ImmutableSet.of(A);
        for (SuspectShare share : List.of(
                SuspectShare.of(TWO, ImmutableSet.of(ONE, TWO), assigned),
                SuspectShare.of(leaving, ImmutableSet.of(ONE), assigned),
                SuspectShare.of(leaving, ImmutableSet.of(), assigned))) {
            assertThat(share.upstreams()).isEmpty();
            assertThat(share.allows(A)).isTrue();
        }
    }

    @Test
    void secondCrashQuarantinesForATimeAndAThirdAtOnceAgain() {
        for (long now : new long[] {0, 100}) {
            suspects.tryBegin(attempt(), print("x"), A, ALL, now);
            suspects.recordCrash(A, now);
        }

        assertThat(suspects.tryBegin(attempt(), print("x"), A, ALL, 300))
                .isEqualTo(new SuspectDecision.Quarantined(800));
        assertThat(suspects.tryBegin(attempt(), print("x"), A, ALL, 1_100)).isEqualTo(new SuspectDecision.Run());
        assertThat(suspects.recordCrash(A, 1_100)).containsEntry(print("x"), 2);
        assertThat(suspects.quarantineRemainingMillis(print("x"), 1_100)).hasValue(QUARANTINE);
        assertThat(suspects.quarantineRemainingMillis(print("x"), 10 * QUARANTINE))
                .isEmpty();
    }

    /** Guards against a late peer report that lowers a count or prolongs a quarantine. */
    @Test
    void countsOfPeersAreMergedByMaximum() {
        suspects.mergeCrashCount(print("x"), 2, 0);
        suspects.mergeCrashCount(print("x"), 1, 500);
        suspects.mergeCrashCount(print("x"), 2, 500);

        assertThat(suspects.quarantineRemainingMillis(print("x"), 500)).hasValue(500);
    }

    /** Random runs: one fatal request among innocent ones, sent again and again, crashes at most two upstreams. */
    @Test
    void oneRequestCrashesAtMostTwoUpstreams() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            SuspectTracker table = new SuspectTracker(1_000_000);
            Set<AttemptId> innocents = new HashSet<>();
            int crashes = 0;
            for (int step = 0; step < 200; step++) {
                UpstreamId upstream = new UpstreamId("u" + random.nextInt(4));
                boolean fatal = random.nextInt(5) == 0;
                Fingerprint fingerprint = print(fatal ? "fatal" : "innocent" + random.nextInt(30));
                AttemptId attempt = attempt();
                boolean runs = table.tryBegin(attempt, fingerprint, upstream, ALL, step) instanceof SuspectDecision.Run;
                if (runs && fatal) {
                    table.recordCrash(upstream, step);
                    crashes++;
                } else if (runs) {
                    innocents.add(attempt);
                }
                if (random.nextBoolean()) {
                    List<AttemptId> done = new ArrayList<>(innocents);
                    done.forEach(table::recordCompleted);
                    innocents.clear();
                }
            }
            assertThat(crashes).isLessThanOrEqualTo(2);
        }
    }
}
