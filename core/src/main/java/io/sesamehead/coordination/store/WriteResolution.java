package io.sesamehead.coordination.store;

/** What became of a conditional write whose answer was lost. */
public sealed interface WriteResolution {
    /** The object still holds this write. */
    record Accepted() implements WriteResolution {}

    /** The write did not take effect and cannot take effect any more. */
    record Refused() implements WriteResolution {}

    /** The write took effect and a later write replaced it. */
    record SupersededAfterAcceptance() implements WriteResolution {}

    /**
     * The object is unchanged since the version on which the write is conditional. The write can still arrive; the
     * same write with the same condition and token can be sent again, because at most one of the two takes effect.
     */
    record NotApplied() implements WriteResolution {}

    /** The object changed and does not tell whether this write was among the changes. */
    record Unknown() implements WriteResolution {}
}
