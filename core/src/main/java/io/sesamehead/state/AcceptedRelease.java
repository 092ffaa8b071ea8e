package io.sesamehead.state;

import com.google.common.collect.ImmutableSet;

/**
 * The part of {@code releases/current} that a daemon acts on.
 *
 * @param generation generation of the acceptance
 * @param note the release note
 * @param drained VMs that operators are draining
 */
public record AcceptedRelease(Generation generation, ReleaseNote note, ImmutableSet<VmId> drained) {}
