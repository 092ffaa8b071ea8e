package io.sesamehead.coordination.catalog;

import java.util.List;
import java.util.Optional;

/**
 * Capabilities and limits of a model service's upstreams.
 *
 * @param slots maximum number of concurrent calls per group
 * @param models the models that the service serves
 * @param stepMillis duration of one token step of an empty batch, in milliseconds
 * @param perSequenceMillis time that each running call adds to a step, in milliseconds
 * @param prefillTokensPerSecond number of prompt tokens processed per second
 * @param stepsPerEvent number of token steps per event of a stream
 * @param maxLoadsPerSecond maximum number of loads from the weight store that may start per second
 * @param maxConcurrentLoads maximum number of concurrent loads that do not slow each other down
 * @param formMillis time that the head of a complete group takes to start serving, in milliseconds
 * @param delays network delays between the failure domains
 */
public record EngineProfile(
        int slots,
        List<ModelProfile> models,
        double stepMillis,
        double perSequenceMillis,
        double prefillTokensPerSecond,
        int stepsPerEvent,
        double maxLoadsPerSecond,
        int maxConcurrentLoads,
        long formMillis,
        DomainDelays delays) {
    /** Copies the models. */
    public EngineProfile {
        models = List.copyOf(models);
    }

    /**
     * Creates the profile of a service for which no network delays are stated.
     *
     * @param slots maximum number of concurrent calls per group
     * @param models the models that the service serves
     * @param stepMillis duration of one token step of an empty batch, in milliseconds
     * @param perSequenceMillis time that each running call adds to a step, in milliseconds
     * @param prefillTokensPerSecond number of prompt tokens processed per second
     * @param stepsPerEvent number of token steps per event of a stream
     * @param maxLoadsPerSecond maximum number of loads from the weight store that may start per second
     * @param maxConcurrentLoads maximum number of concurrent loads that do not slow each other down
     * @param formMillis time that the head of a complete group takes to start serving, in milliseconds
     */
    public EngineProfile(
            int slots,
            List<ModelProfile> models,
            double stepMillis,
            double perSequenceMillis,
            double prefillTokensPerSecond,
            int stepsPerEvent,
            double maxLoadsPerSecond,
            int maxConcurrentLoads,
            long formMillis) {
        this(
                slots,
                models,
                stepMillis,
                perSequenceMillis,
                prefillTokensPerSecond,
                stepsPerEvent,
                maxLoadsPerSecond,
                maxConcurrentLoads,
                formMillis,
                DomainDelays.NONE);
    }

    /**
     * Finds a model.
     *
     * @param name the model's name
     * @return the model, or empty if the service does not serve it
     */
    public Optional<ModelProfile> model(String name) {
        for (ModelProfile model : models) {
            if (model.name().equals(name)) {
                return Optional.of(model);
            }
        }
        return Optional.empty();
    }
}
