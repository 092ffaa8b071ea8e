package io.sesamehead.daemon.transport;

/** What is known of an engine process that ran a request. */
public enum ProcessState {
    /** It still runs. */
    RUNS,
    /** Nothing listens at its address, or another incarnation does. */
    ENDED,
    /** It did not answer in time, as when it is slow or cut off. */
    UNKNOWN
}
