package io.sesamehead.entry.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.PromptPartVerdict;
import io.sesamehead.coordination.dispatch.Target;
import java.util.List;
import java.util.Optional;

/** Records the crashes and answers of one call's attempts and tells whether it may still be sent. */
final class CallCrashes {
    private final CallEnvironment environment;
    private final CrashSubject request;
    private final ImmutableList<CrashSubject> parts;
    private final CallLog log;
    /** Whether the call finds out if a refused part of its prompt still crashes its target. */
    private final boolean trial;

    private boolean completed;

    /**
     * Creates the records of an admitted call.
     *
     * @param request what crashes are counted against for the call itself
     * @param parts the same for the parts of its prompt
     */
    CallCrashes(CallEnvironment environment, CrashSubject request, ImmutableList<CrashSubject> parts, CallLog log) {
        this.environment = environment;
        this.request = request;
        this.parts = parts;
        this.log = log;
        this.trial = isPartRefused();
    }

    /** Returns whether the request or a part of its prompt has crashed too many targets. */
    boolean isRefused() {
        return environment.crashHistory().isRefused(request, now()) || isPartRefused();
    }

    /** Returns whether a part of the prompt has crashed too many targets since the call was admitted. */
    boolean isPartNewlyRefused() {
        return !trial && isPartRefused();
    }

    /** Returns what may crash the next target: a part of the prompt, or a refused request that is tried again. */
    Optional<CrashSubject> suspect() {
        return switch (verdict()) {
            case PromptPartVerdict.Clear clear ->
                environment.crashHistory().isRefused(request, now()) ? Optional.of(request) : Optional.empty();
            case PromptPartVerdict.Suspected suspected -> Optional.of(suspected.part());
            case PromptPartVerdict.Refused refused -> Optional.of(refused.part());
        };
    }

    /** Returns the targets at which no crash of the request is known. */
    List<Target> targetsWithoutCrash(List<Target> targets) {
        return environment.crashHistory().targetsWithoutCrash(request, targets, now());
    }

    /**
     * Records that a target crashed while it ran an attempt. A call that has completed at another target since is not the
     * cause.
     *
     * @param answerBegun whether an event was received, so that no part of the prompt can be the cause
     */
    void recordCrash(Target target, long sentAtMillis, boolean answerBegun) {
        if (completed) {
            return;
        }
        environment.crashHistory().recordCrash(request, target.key(), sentAtMillis, now());
        log.crashCounted(target, request, environment.crashHistory().crashCount(request, now()));
        if (!answerBegun) {
            environment.recordPartsLost(parts, target.key(), sentAtMillis);
        }
    }

    /**
     * Records an attempt that was cancelled before it had a response or a failure.
     *
     * @param answerBegun whether an event was received
     */
    void recordCancelled(Target target, long sentAtMillis, boolean answerBegun) {
        if (completed) {
            return;
        }
        environment.recordCancelledAttempt(
                request, answerBegun ? ImmutableList.of() : parts, target.key(), sentAtMillis);
    }

    /** Records that the answer has begun. */
    void recordAnswered() {
        environment.partCrashes().recordAnswered(parts, now());
    }

    /** Records that the call ran to its end. */
    void recordCompleted() {
        completed = true;
        environment.crashHistory().recordCompleted(request, now());
    }

    private boolean isPartRefused() {
        return verdict() instanceof PromptPartVerdict.Refused;
    }

    private PromptPartVerdict verdict() {
        return environment.partCrashes().verdict(parts, now());
    }

    private long now() {
        return environment.clocks().steadyMillis();
    }
}
