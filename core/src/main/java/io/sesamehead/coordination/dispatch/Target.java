package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.coordination.replica.UpstreamEntry;
import java.util.Optional;

/**
 * A group, or an upstream of a plain service, that accepts calls.
 *
 * @param key identity of the group or upstream
 * @param upstream the upstream that the daemon connects to
 * @param slots number of calls that run concurrently
 * @param timeFactor factor on all times of the target's model, below 1 is faster
 * @param engine timing profile of a model service, empty for a plain service
 */
public record Target(
        TargetKey key, UpstreamEntry upstream, int slots, double timeFactor, Optional<EngineProfile> engine) {}
