package io.sesamehead.state;

/** Stage in the life of a group, as recorded in the assignment. */
public enum GroupState {
    /** The intent is recorded and load orders are being sent. */
    FORMING,
    /** All members were seen ready; daemons may send work while their own evidence agrees. */
    SERVING,
    /** A member is missing; the group waits or is to be repaired. */
    BROKEN,
    /** Release orders are being sent; the group takes no work. */
    RELEASING
}
