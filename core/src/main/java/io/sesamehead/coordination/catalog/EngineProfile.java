package io.sesamehead.coordination.catalog;

import java.util.List;
import java.util.Optional;

/**
 * What a model service's upstreams can do.
 *
 * @param slots calls that one group runs at once
 * @param models the models it serves
 * @param stepMillis time of one token step of an empty batch, in milliseconds
 * @param perSequenceMillis time that each running call adds to a step, in milliseconds
 * @param prefillTokensPerSecond prompt tokens read in a second
 * @param stepsPerEvent token steps that one event of a stream holds
 * @param maxLoadsPerSecond loads from the weight store that may begin in a second
 * @param maxConcurrentLoads loads that run at once without slowing one another down
 * @param formMillis time in which the head of a complete group starts to serve, in milliseconds
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
        long formMillis) {
    /** Copies the models. */
    public EngineProfile {
        models = List.copyOf(models);
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
