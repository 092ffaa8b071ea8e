package io.sesamehead.coordination.config;

/** Path on which a configuration reached this daemon. */
public enum ConfigSource {
    /** Read from the platform's object API. */
    STORE,
    /** Received from another daemon. */
    PEER
}
