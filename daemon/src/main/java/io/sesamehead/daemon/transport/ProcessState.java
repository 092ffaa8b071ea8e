package io.sesamehead.daemon.transport;

/** State of an engine process that ran a request. */
public enum ProcessState {
    /** The process is still running. */
    RUNS,
    /** Nothing is listening at its address, or a different incarnation is. */
    ENDED,
    /** The process did not respond in time; it may be slow or partitioned. */
    UNKNOWN
}
