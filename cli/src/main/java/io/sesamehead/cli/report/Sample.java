package io.sesamehead.cli.report;

import com.google.common.collect.ImmutableMap;

/**
 * Counters of the fleet at one point in time.
 *
 * @param epochMillis wall-clock time of the sample, in milliseconds since the Unix epoch
 * @param daemons counters by daemon incarnation
 * @param unresponsiveDaemons number of daemons that did not respond
 * @param fleet numbers of groups and accelerators
 */
public record Sample(
        long epochMillis,
        ImmutableMap<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> daemons,
        int unresponsiveDaemons,
        FleetCounts fleet) {}
