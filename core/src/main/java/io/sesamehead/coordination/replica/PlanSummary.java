package io.sesamehead.coordination.replica;

/**
 * Counts of a service's groups and upstreams after a step of the planner.
 *
 * @param serving number of groups that serve, with those of evacuated failure domains
 * @param forming number of groups that are forming
 * @param dissolving number of groups whose members are being released
 * @param free number of upstreams that could join a group, with or without a model on their host; upstreams
 *     of evacuated failure domains count
 * @param prepared number of free upstreams that have a model loaded or on their host
 * @param held number of upstreams that wait for the head of their former group to stop, or that did not answer
 * @param listed number of all upstreams
 */
public record PlanSummary(int serving, int forming, int dissolving, int free, int prepared, int held, int listed) {}
