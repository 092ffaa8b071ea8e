package io.sesamehead.coordination.replica;

/** What an upstream says about its part in a group. */
public enum MemberState {
    /** The upstream prepares the group's model. */
    JOINING,
    /** The upstream is prepared; the head does not serve. */
    READY,
    /** The head accepts calls. */
    OPEN,
    /** The head finishes its calls and accepts no others. */
    CLOSING,
    /** The head found a member missing and has stopped. */
    BROKEN
}
