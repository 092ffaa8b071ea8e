package io.sesamehead.state;

/** Lifecycle state of a group, as recorded in the assignment. */
public enum GroupState {
    /** The group is recorded and load orders are being sent. */
    FORMING,
    /** All members were observed ready; a daemon may send work as long as its own evidence confirms this. */
    SERVING,
    /** A member is missing; the group waits for it or for a repair. */
    BROKEN,
    /** The group accepts no work, and release orders are being sent. */
    RELEASING
}
