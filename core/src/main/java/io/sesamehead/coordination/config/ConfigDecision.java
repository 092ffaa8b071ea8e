package io.sesamehead.coordination.config;

import io.sesamehead.state.Generation;

/** Decision about an offered configuration. */
public sealed interface ConfigDecision {
    /**
     * Put the configuration in force.
     *
     * @param generation its generation
     */
    record Adopt(Generation generation) implements ConfigDecision {}

    /** Ignore the configuration: it is already in force, or a peer sent an older one. */
    record Ignore() implements ConfigDecision {}

    /**
     * Alert: the generation in the store is older than the one in force, so the store was restored from a backup.
     *
     * @param inForce generation in force
     * @param offered generation in the store
     */
    record StaleStore(Generation inForce, Generation offered) implements ConfigDecision {}

    /**
     * Alert: the generation in force was offered with different content. The content in force is kept.
     *
     * @param generation the generation
     * @param source source of the different content
     */
    record Conflicting(Generation generation, ConfigSource source) implements ConfigDecision {}
}
