package io.sesamehead.coordination.config;

import io.sesamehead.state.Generation;

/** What to do with a configuration that was offered. */
public sealed interface ConfigDecision {
    /**
     * Put it in force.
     *
     * @param generation its generation
     */
    record Adopt(Generation generation) implements ConfigDecision {}

    /** It is in force already, or a peer that lags behind sent an older one. */
    record Ignore() implements ConfigDecision {}

    /**
     * Alarm: the store holds an older generation than the one in force, so it was restored from an old copy.
     *
     * @param inForce generation in force
     * @param offered generation that the store holds
     */
    record StaleStore(Generation inForce, Generation offered) implements ConfigDecision {}

    /**
     * Alarm: the generation in force was offered with another content. The one in force is kept.
     *
     * @param generation the generation
     * @param source where the other content came from
     */
    record Conflicting(Generation generation, ConfigSource source) implements ConfigDecision {}
}
