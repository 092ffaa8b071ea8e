package io.sesamehead.coordination.replica;

/**
 * Where a service's upstreams stood after a step of the planner.
 *
 * @param serving groups that serve
 * @param forming groups that form
 * @param dissolving groups whose members are being freed
 * @param free upstreams that could join a group, with the model on their host or not
 * @param prepared free upstreams with a model on their host
 * @param held upstreams that wait for their old head to stop, or did not answer
 * @param listed all upstreams
 */
public record PlanSummary(int serving, int forming, int dissolving, int free, int prepared, int held, int listed) {}
