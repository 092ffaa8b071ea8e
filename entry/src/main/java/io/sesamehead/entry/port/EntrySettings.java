package io.sesamehead.entry.port;

import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import java.util.Optional;

/**
 * Settings of an entry daemon.
 *
 * @param daemon its name, which a later process on the same VM may have again
 * @param failureDomain its failure domain
 * @param callerEndpoint where callers connect
 * @param readinessEndpoint where the platform asks whether the daemon takes connections
 * @param adminEndpoint where metrics are served, if anywhere
 * @param peerEndpoint where other daemons' reports arrive, over UDP
 * @param maxConnections callers' connections at most, from the limit of descriptors
 * @param keyRevocationMillis time after which a key that was taken away must not work anywhere, in milliseconds
 * @param configConvergenceMillis time within which a configuration must be in force, in milliseconds
 * @param shutdownGraceMillis time between the request to stop and the end by force, in milliseconds
 * @param stallDetectionMillis time in which the head of a group notices that a member is missing, in milliseconds
 * @param bootstrap whether the deployment starts for the first time
 * @param retryRatio repeats allowed for each call
 * @param extraRetriesPerWindow repeats allowed to all daemons in each window beside those
 * @param retryWindowMillis length of the window, in milliseconds
 */
public record EntrySettings(
        String daemon,
        FailureDomain failureDomain,
        Endpoint callerEndpoint,
        Endpoint readinessEndpoint,
        Optional<Endpoint> adminEndpoint,
        Endpoint peerEndpoint,
        int maxConnections,
        long keyRevocationMillis,
        long configConvergenceMillis,
        long shutdownGraceMillis,
        long stallDetectionMillis,
        boolean bootstrap,
        double retryRatio,
        double extraRetriesPerWindow,
        long retryWindowMillis) {}
