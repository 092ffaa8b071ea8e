package io.sesamehead.cli.report;

import com.google.common.collect.ImmutableMap;

/**
 * The counters of the fleet at one moment.
 *
 * @param epochMillis wall-clock time of the sample
 * @param daemons counters by daemon incarnation
 * @param unresponsiveDaemons daemons that did not answer
 * @param fleet groups and accelerators
 */
public record Sample(
        long epochMillis, ImmutableMap<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> daemons, int unresponsiveDaemons, FleetCounts fleet) {}
