package io.sesamehead.daemon.transport;

/** State that a plain service reports of itself. */
public enum ServiceState {
    /** Takes work. */
    READY,
    /** Is going away and takes no new work. */
    LEAVING,
    /** Did not answer in time or not with a state. */
    NO_ANSWER
}
