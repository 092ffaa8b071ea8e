package io.sesamehead.coordination.replica;

/** State that an upstream reports for its membership in a group. */
public enum MemberState {
    /** The upstream is preparing the group's model. */
    JOINING,
    /** The upstream has prepared the model; a head in this state does not serve yet. */
    READY,
    /** The head accepts calls. */
    OPEN,
    /** The head is finishing its calls and accepts no new ones. */
    CLOSING,
    /** The head detected a missing member and has stopped. */
    BROKEN
}
