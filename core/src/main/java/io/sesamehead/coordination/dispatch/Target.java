package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.coordination.replica.UpstreamEntry;
import java.util.Optional;

/**
 * An upstream that accepts calls of a service.
 *
 * @param key identity of the group or upstream
 * @param upstream the upstream that the connection goes to
 * @param slots calls that run at once
 * @param timeFactor factor on the times of its model, below 1 is faster
 * @param engine times of a model service, empty for a plain service
 */
public record Target(
        TargetKey key, UpstreamEntry upstream, int slots, double timeFactor, Optional<EngineProfile> engine) {}
