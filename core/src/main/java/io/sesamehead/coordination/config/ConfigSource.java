package io.sesamehead.coordination.config;

/** Source from which this daemon received a configuration. */
public enum ConfigSource {
    /** Read from the platform's object API. */
    STORE,
    /** Received from another daemon. */
    PEER
}
