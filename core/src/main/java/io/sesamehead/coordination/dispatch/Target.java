package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.coordination.replica.UpstreamEntry;
import java.util.Optional;

/**
 * An upstream that accepts calls of a service.
 *
 * @param key identity of the group or upstream
 * @param receiver the upstream that the connection goes to
 * @param slots calls that run at once
 * @param pace factor on all of its times, below 1 is faster
 * @param slowness factor on its times compared with other groups of its model, 1 or more
 * @param engine times of a model service, empty for a plain service
 */
public record Target(
        TargetKey key,
        UpstreamEntry receiver,
        int slots,
        double pace,
        double slowness,
        Optional<EngineProfile> engine) {}
