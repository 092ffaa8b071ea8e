package io.sesamehead.daemon.transport;

/** State that a plain service reports. */
public enum ServiceState {
    /** The service accepts work. */
    READY,
    /** The service is shutting down and accepts no new work. */
    LEAVING,
    /** The service did not respond in time, or the response held no state. */
    NO_ANSWER
}
