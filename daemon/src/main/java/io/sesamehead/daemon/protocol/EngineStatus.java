package io.sesamehead.daemon.protocol;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.VmId;

/**
 * Status that a model engine reports.
 *
 * @param report the fields that daemons exchange as evidence
 * @param role {@code head}, {@code worker} or {@code none}
 * @param members members of the engine's group in rank order, as the engine reports them
 * @param checksFencing whether the engine rejects orders with a stale fencing token
 */
public record EngineStatus(MemberReport report, String role, ImmutableList<VmId> members, boolean checksFencing) {}
