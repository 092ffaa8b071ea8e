package io.sesamehead.coordination.catalog;

/**
 * A model and what a group of it needs.
 *
 * @param name the model's name
 * @param groupSize upstreams in one group
 * @param share part of the work that calls for this model, 0 to 1
 * @param timeFactor factor applied to all times of a group, below 1 is faster
 * @param loadMillis time to load the weights from the weight store, in milliseconds
 * @param warmLoadMillis time to load the weights from the host, in milliseconds
 */
public record ModelProfile(
        String name, int groupSize, double share, double timeFactor, long loadMillis, long warmLoadMillis) {}
