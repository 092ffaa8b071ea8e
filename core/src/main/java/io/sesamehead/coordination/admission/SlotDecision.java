package io.sesamehead.coordination.admission;

import io.sesamehead.coordination.dispatch.SlotRule;

/** Whether a call gets one of scarce slots. */
public sealed interface SlotDecision {
    /**
     * The call may be dispatched.
     *
     * @param slotRule which slots it may use
     */
    record Admit(SlotRule slotRule) implements SlotDecision {}

    /**
     * The call is refused and has not run.
     *
     * @param fraction fraction of such calls that are admitted at present; 0 if the call could not be in time anyway
     * @param accountOver whether the account's calls exceed its share
     * @param retryAfterMillis time after which the caller should try again, in milliseconds
     */
    record Refuse(double fraction, boolean accountOver, long retryAfterMillis) implements SlotDecision {}
}
