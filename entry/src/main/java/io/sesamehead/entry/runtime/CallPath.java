package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.StoreRevision;
import java.util.List;
import java.util.Optional;

/**
 * The parts of a daemon that calls run through. The daemon is not started, so that its deployment is set directly.
 *
 * @param activeConfig its configuration
 * @param registry its upstreams
 * @param callerServer handles the callers' connections
 * @param onFleetChange runs after a change of the configuration or the upstreams
 */
record CallPath(
        ActiveConfig activeConfig, UpstreamRegistry registry, CallerServer callerServer, Runnable onFleetChange) {
    private static final StoreRevision REVISION = new StoreRevision(0, 1);

    /**
     * Sets the configuration and the upstreams.
     *
     * @param clocks clocks of the process
     */
    void setDeployment(ServingConfig config, List<UpstreamEntry> upstreams, Clocks clocks) {
        activeConfig.offer(config, REVISION, clocks.bootMillis());
        List<StoredObject<UpstreamEntry>> objects = upstreams.stream()
                .map(entry -> new StoredObject<>(entry.id().value(), REVISION, Optional.of(entry)))
                .toList();
        registry.replaceAll(objects, clocks.steadyMillis());
        onFleetChange.run();
    }
}
