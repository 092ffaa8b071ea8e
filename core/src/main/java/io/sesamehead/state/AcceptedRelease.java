package io.sesamehead.state;

import com.google.common.collect.ImmutableSet;

/**
 * The content of {@code releases/current} that a daemon acts on.
 *
 * @param generation generation of the acceptance
 * @param note the release note
 * @param drained VMs that operators drain
 */
public record AcceptedRelease(Generation generation, ReleaseNote note, ImmutableSet<VmId> drained) {}
