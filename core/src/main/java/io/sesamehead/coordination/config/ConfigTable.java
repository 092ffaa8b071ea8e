package io.sesamehead.coordination.config;

import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.Generation;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/** The configuration in force. Guarded by a {@link ReentrantLock}, number 1 in the lock order of the tables. */
public final class ConfigTable {
    private final ReentrantLock lock = new ReentrantLock();
    private Optional<AcceptedRelease> inForce = Optional.empty();
    private Generation highestReported = Generation.NONE;

    /** Creates a table without a configuration. */
    public ConfigTable() {}

    /**
     * Offers a configuration and puts it in force if {@link ConfigGate} accepts it.
     *
     * @param offered the configuration
     * @param source source of the configuration
     * @return the decision that was applied
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
     * @return true if it is higher than the one in force, so that its content must be fetched
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
     * @return the configuration, or empty before one was accepted
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
     * @return the generation, or {@link Generation#NONE} before one was accepted
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
     * Returns the highest generation that any source reported or offered.
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
