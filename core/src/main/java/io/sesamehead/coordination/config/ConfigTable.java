package io.sesamehead.coordination.config;

import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.Generation;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/** The configuration in force. Lock: one {@link ReentrantLock}, place 1 in the lock order of the tables. */
public final class ConfigTable {
    private final ReentrantLock lock = new ReentrantLock();
    private Optional<AcceptedRelease> inForce = Optional.empty();
    private Generation highestReported = Generation.NONE;

    /** Creates a table without a configuration. */
    public ConfigTable() {}

    /**
     * Offers a configuration and puts it in force if {@link ConfigGate} lets it pass.
     *
     * @param offered the configuration
     * @param source where it came from
     * @return what was done
     */
    public ConfigDecision offer(AcceptedRelease offered, ConfigSource source) {
        lock.lock();
        try {
            ConfigDecision decision = ConfigGate.decide(inForce, offered, source);
            if (decision instanceof ConfigDecision.Adopt) {
                inForce = Optional.of(offered);
            }
            raiseHighestReported(offered.generation());
            return decision;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records a generation that a peer or the store reported without its content.
     *
     * @param generation the generation
     * @return true when it is higher than the one in force, so that its content is to be fetched
     */
    public boolean recordReported(Generation generation) {
        lock.lock();
        try {
            raiseHighestReported(generation);
            return generation.compareTo(currentGeneration()) > 0;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty before the first one
     */
    public Optional<AcceptedRelease> inForce() {
        lock.lock();
        try {
            return inForce;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the generation in force.
     *
     * @return the generation, or {@link Generation#NONE}
     */
    public Generation generation() {
        lock.lock();
        try {
            return currentGeneration();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the highest generation that any source reported.
     *
     * @return the generation, or {@link Generation#NONE}
     */
    public Generation highestReported() {
        lock.lock();
        try {
            return highestReported;
        } finally {
            lock.unlock();
        }
    }

    private Generation currentGeneration() {
        return inForce.map(AcceptedRelease::generation).orElse(Generation.NONE);
    }

    private void raiseHighestReported(Generation generation) {
        if (generation.compareTo(highestReported) > 0) {
            highestReported = generation;
        }
    }
}
