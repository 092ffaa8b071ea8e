package io.sesamehead.entry.port;

import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import java.util.Optional;

/**
 * Settings of an entry daemon.
 *
 * @param daemon its name, which a later process on the same VM may have again
 * @param failureDomain its failure domain
 * @param callers where callers connect
 * @param readiness where the platform asks whether the daemon takes connections
 * @param admin where metrics are served, if anywhere
 * @param peers where other daemons' reports arrive, over UDP
 * @param maxConnections callers' connections at most, from the limit of descriptors
 * @param keyLeaseMillis time after which a key that was taken away must not work anywhere, in milliseconds
 * @param convergeMillis time within which a configuration must be in force, in milliseconds
 * @param stopMillis time between the request to stop and the end by force, in milliseconds
 * @param stallMillis time in which the head of a group notices that a member is missing, in milliseconds
 * @param firstStart whether the deployment starts for the first time
 * @param retryRatio repeats allowed for each call
 * @param retrySlack repeats allowed to all daemons in each window beside those
 * @param retryWindowMillis length of the window, in milliseconds
 */
public record EntrySettings(
        String daemon,
        FailureDomain failureDomain,
        Endpoint callers,
        Endpoint readiness,
        Optional<Endpoint> admin,
        Endpoint peers,
        int maxConnections,
        long keyLeaseMillis,
        long convergeMillis,
        long stopMillis,
        long stallMillis,
        boolean firstStart,
        double retryRatio,
        double retrySlack,
        long retryWindowMillis) {}
