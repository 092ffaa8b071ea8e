package io.sesamehead.coordination.dispatch;

/** Which slots a call may use. */
public enum SlotRule {
    /** A free slot, or a place in a queue if the call is on time. A call retried by its caller may queue and be late. */
    RETRIED_MAY_QUEUE,
    /**
     * A free slot, or a place in a queue if the call is on time. Where slots are divided among calls, retried ones would
     * otherwise get more of them than first tries.
     */
    ON_TIME_MAY_QUEUE,
    /** The call was admitted as one of those that all targets together can take, each in proportion to its room. */
    ADMITTED
}
