package io.sesamehead.coordination.store;

/** Outcome of a conditional write whose answer was lost. */
public sealed interface WriteResolution {
    /** The object still contains this write. */
    record Accepted() implements WriteResolution {}

    /** The write did not take effect and can no longer take effect. */
    record Refused() implements WriteResolution {}

    /** The write took effect and a later write replaced it. */
    record SupersededAfterAcceptance() implements WriteResolution {}

    /**
     * The object is unchanged since the version on which the write is conditional. The write may still arrive. It can
     * be sent again with the same condition and token, because no more than one of the two takes effect.
     */
    record NotApplied() implements WriteResolution {}

    /** The object changed, and it cannot be determined whether this write took effect. */
    record Unknown() implements WriteResolution {}
}
