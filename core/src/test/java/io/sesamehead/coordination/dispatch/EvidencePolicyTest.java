package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against steps that cannot be reversed on evidence that may turn out to be wrong. */
final class EvidencePolicyTest {
    private static final SilenceLimits GROUP = SilenceLimits.of(true, 50, 0);
    private static final SilenceLimits SLOW_PLAIN = SilenceLimits.of(false, 800, 0);

    @Test
    void shortSilenceJustifiesNothing() {
        assertThat(EvidencePolicy.reactions(new TargetEvidence.Silence(390, 390, GROUP)))
                .isEmpty();
        assertThat(EvidencePolicy.reactions(new TargetEvidence.Silence(990, 20, GROUP)))
                .isEmpty();
    }

    @Test
    void silenceOfSoundTargetJustifiesOnlyReversibleSteps() {
        for (long millis = 401; millis <= 1_500; millis++) {
            assertThat(EvidencePolicy.reactions(new TargetEvidence.Silence(millis, millis, GROUP)))
                    .containsExactlyInAnyOrder(EvidenceReaction.PREFER_OTHERS, EvidenceReaction.SECOND_ATTEMPT);
        }
    }

    @Test
    void silenceTowardsThisDaemonAloneJustifiesOnlySecondAttempt() {
        assertThat(EvidencePolicy.reactions(new TargetEvidence.Silence(5_000, 20, GROUP)))
                .containsExactly(EvidenceReaction.SECOND_ATTEMPT);
    }

    @Test
    void longSilenceJustifiesReplacement() {
        assertThat(EvidencePolicy.reactions(new TargetEvidence.Silence(2_050, 2_050, GROUP)))
                .contains(EvidenceReaction.REPLACE, EvidenceReaction.COUNT_CRASH);
    }

    /** Guards against counting a crash of a call that runs for a second after a silence of its upstream. */
    @Test
    void slowTargetIsLostLater() {
        assertThat(EvidencePolicy.justifies(
                        new TargetEvidence.Silence(2_900, 2_900, SLOW_PLAIN), EvidenceReaction.COUNT_CRASH))
                .isFalse();
        assertThat(EvidencePolicy.justifies(
                        new TargetEvidence.Silence(3_200, 3_200, SLOW_PLAIN), EvidenceReaction.COUNT_CRASH))
                .isTrue();
    }

    @Test
    void failedAttemptCountsButDoesNotReplace() {
        assertThat(EvidencePolicy.reactions(new TargetEvidence.AttemptFailed()))
                .containsExactly(EvidenceReaction.COUNT_CRASH);
    }

    /** Guards against counting crashes of sound calls because a connection timed out during a silence. */
    @Test
    void onlyRefusedConnectionCountsCrash() {
        assertThat(EvidencePolicy.reactions(new TargetEvidence.FaultyResponse()))
                .isEmpty();
        assertThat(EvidencePolicy.reactions(new TargetEvidence.ConnectFailed()))
                .containsExactly(EvidenceReaction.PREFER_OTHERS);
        assertThat(EvidencePolicy.reactions(new TargetEvidence.ConnectionRefused()))
                .containsExactlyInAnyOrder(EvidenceReaction.PREFER_OTHERS, EvidenceReaction.COUNT_CRASH);
    }

    @Test
    void vanishedTargetCountsOnly() {
        assertThat(EvidencePolicy.reactions(new TargetEvidence.Vanished()))
                .containsExactly(EvidenceReaction.COUNT_CRASH);
    }

    /** Guards against counting crashes of sound calls because their upstream was drained or its group was closed. */
    @Test
    void withdrawnTargetIsNoEvidence() {
        assertThat(EvidencePolicy.reactions(new TargetEvidence.Withdrawn())).isEmpty();
    }
}
