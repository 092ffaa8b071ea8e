package io.sesamehead.coordination.catalog;

/**
 * A model and what a group of it needs.
 *
 * @param name the model's name
 * @param size upstreams in one group
 * @param share part of the work that calls for this model, 0 to 1
 * @param pace factor applied to all times of a group, below 1 is faster
 * @param loadMillis time to load the weights from the weight store, in milliseconds
 * @param warmMillis time to load the weights from the host, in milliseconds
 */
public record ModelProfile(String name, int size, double share, double pace, long loadMillis, long warmMillis) {}
