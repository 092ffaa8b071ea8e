package io.sesamehead.coordination.dispatch;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;

/**
 * Decides what evidence against a target justifies. Silence may end, so that it justifies only steps that can be
 * reversed until it is longer than that of any sound target, and it never ends an attempt.
 */
public final class EvidencePolicy {
    private EvidencePolicy() {}

    /**
     * Returns the steps that a piece of evidence justifies.
     *
     * @param evidence the evidence
     * @return the steps, empty if the evidence is too weak for any
     */
    public static ImmutableSet<EvidenceReaction> reactions(TargetEvidence evidence) {
        return switch (evidence) {
            case TargetEvidence.Silence silence -> reactionsToSilence(silence);
            case TargetEvidence.AttemptFailed failed -> Sets.immutableEnumSet(EvidenceReaction.COUNT_CRASH);
            case TargetEvidence.FaultyResponse faulty -> ImmutableSet.of();
            case TargetEvidence.ConnectFailed failed -> Sets.immutableEnumSet(EvidenceReaction.PREFER_OTHERS);
            case TargetEvidence.ConnectionRefused refused ->
                Sets.immutableEnumSet(EvidenceReaction.PREFER_OTHERS, EvidenceReaction.COUNT_CRASH);
            case TargetEvidence.Vanished vanished -> Sets.immutableEnumSet(EvidenceReaction.COUNT_CRASH);
            case TargetEvidence.Withdrawn withdrawn -> ImmutableSet.of();
        };
    }

    /**
     * Returns whether a piece of evidence justifies a step.
     *
     * @param evidence the evidence
     * @param reaction the step
     * @return true if it does
     */
    public static boolean justifies(TargetEvidence evidence, EvidenceReaction reaction) {
        return reactions(evidence).contains(reaction);
    }

    private static ImmutableSet<EvidenceReaction> reactionsToSilence(TargetEvidence.Silence silence) {
        if (silence.anywhereMillis() > silence.limits().lostMillis()) {
            return Sets.immutableEnumSet(
                    EvidenceReaction.PREFER_OTHERS,
                    EvidenceReaction.SECOND_ATTEMPT,
                    EvidenceReaction.COUNT_CRASH,
                    EvidenceReaction.REPLACE);
        }
        if (silence.anywhereMillis() > silence.limits().anywhereMillis()) {
            return Sets.immutableEnumSet(EvidenceReaction.PREFER_OTHERS, EvidenceReaction.SECOND_ATTEMPT);
        }
        if (silence.ownMillis() > silence.limits().ownMillis()) {
            return Sets.immutableEnumSet(EvidenceReaction.SECOND_ATTEMPT);
        }
        return ImmutableSet.of();
    }
}
