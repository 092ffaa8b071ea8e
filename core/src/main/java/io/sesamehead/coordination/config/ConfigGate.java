package io.sesamehead.coordination.config;

import io.sesamehead.state.AcceptedRelease;
import java.util.Optional;

/** Accepts only higher generations, from every source, so that the configuration in force never reverts. */
public final class ConfigGate {
    private ConfigGate() {}

    /**
     * Decides about an offered configuration.
     *
     * @param inForce configuration in force, or empty
     * @param offered the offered configuration
     * @param source source of the offered configuration
     * @return the decision
     */
    public static ConfigDecision decide(
            Optional<AcceptedRelease> inForce, AcceptedRelease offered, ConfigSource source) {
        if (inForce.isEmpty()) {
            return new ConfigDecision.Adopt(offered.generation());
        }
        AcceptedRelease current = inForce.get();
        int order = offered.generation().compareTo(current.generation());
        if (order > 0) {
            return new ConfigDecision.Adopt(offered.generation());
        }
        if (order == 0) {
            return offered.equals(current)
                    ? new ConfigDecision.Ignore()
                    : new ConfigDecision.Conflicting(current.generation(), source);
        }
        return switch (source) {
            case STORE -> new ConfigDecision.StaleStore(current.generation(), offered.generation());
            case PEER -> new ConfigDecision.Ignore();
        };
    }
}
