package io.sesamehead.coordination.catalog;

/**
 * A model and the size and timing of its groups.
 *
 * @param name the model's name
 * @param groupSize number of upstreams in one group
 * @param share fraction of the work that is for this model, 0 to 1
 * @param timeFactor factor applied to all times of a group; below 1 is faster
 * @param loadMillis time to load the weights from the weight store, in milliseconds
 * @param warmLoadMillis time to load the weights from the host, in milliseconds
 */
public record ModelProfile(
        String name, int groupSize, double share, double timeFactor, long loadMillis, long warmLoadMillis) {}
