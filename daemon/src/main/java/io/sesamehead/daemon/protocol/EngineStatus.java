package io.sesamehead.daemon.protocol;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.VmId;

/**
 * Status of a model engine.
 *
 * @param report the part that daemons exchange as evidence
 * @param role {@code head}, {@code worker} or {@code none}
 * @param members members of the engine's group in rank order, as the engine knows them
 * @param checksFencing whether the engine refuses orders with an old fencing number
 */
public record EngineStatus(MemberReport report, String role, ImmutableList<VmId> members, boolean checksFencing) {}
