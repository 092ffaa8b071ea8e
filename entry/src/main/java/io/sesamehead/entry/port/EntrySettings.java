package io.sesamehead.entry.port;

import io.sesamehead.coordination.catalog.RegionMap;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Region;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Settings of an entry daemon.
 *
 * @param daemon daemon name, which a later process on the same VM may reuse
 * @param failureDomain failure domain of the daemon
 * @param callerEndpoint endpoint for callers
 * @param readinessEndpoint endpoint for the platform's readiness probe
 * @param adminEndpoint endpoint for metrics, if enabled
 * @param peerEndpoint endpoint for other daemons: for their reports (UDP) and for the calls that they pass on (TCP)
 * @param maxConnections maximum number of caller connections, derived from the file descriptor limit
 * @param keyRevocationMillis time within which a revoked key must be refused everywhere, in milliseconds
 * @param configConvergenceMillis time within which a configuration must take effect, in milliseconds
 * @param shutdownGraceMillis time between the shutdown request and the forced kill, in milliseconds
 * @param stallDetectionMillis time within which the head of a group detects a missing member, in milliseconds
 * @param upstreamDrainMillis time for which a draining upstream serves on after the store knows of it, in milliseconds
 * @param bootstrap whether this is the first start of the deployment
 * @param retryRatio retries allowed per call
 * @param extraRetriesPerWindow additional retries allowed per window across all daemons
 * @param retryWindowMillis length of the retry window, in milliseconds
 * @param heartbeatMillis interval at which upstreams write to the store, in milliseconds
 * @param placement what the settings say of regions, evacuations and cold upstreams
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
        long upstreamDrainMillis,
        boolean bootstrap,
        double retryRatio,
        double extraRetriesPerWindow,
        long retryWindowMillis,
        long heartbeatMillis,
        Placement placement) {
    /**
     * Settings of regions, of evacuations, of cold upstreams and of traffic between failure domains.
     *
     * @param region region of the daemon, empty if not stated
     * @param regions region of each failure domain
     * @param evacuationMillis time within which the evacuation of a failure domain must take effect, in milliseconds;
     *     empty if failure domains are not evacuated
     * @param coldLimit limit of requests to cold upstreams, empty if there is none
     * @param domainByteMillisPerKilobyte delay that is accepted to keep one kilobyte within its failure domain, in
     *     milliseconds
     * @param divideSlots whether the slots of services whose routes have different ranks are divided by rank and account
     */
    public record Placement(
            Optional<Region> region,
            Map<FailureDomain, Region> regions,
            OptionalLong evacuationMillis,
            Optional<ColdLimit> coldLimit,
            double domainByteMillisPerKilobyte,
            boolean divideSlots) {
        /** Weight of a byte between failure domains unless the operators state one. */
        public static final double DEFAULT_MILLIS_PER_KILOBYTE = 1;

        /** Settings of a deployment without regions, evacuations and cold upstreams. */
        public static final Placement NONE = new Placement(
                Optional.empty(), Map.of(), OptionalLong.empty(), Optional.empty(), DEFAULT_MILLIS_PER_KILOBYTE, false);

        /** Copies the map. */
        public Placement {
            regions = Map.copyOf(regions);
        }

        /**
         * Returns where the daemon and the failure domains are.
         *
         * @param failureDomain failure domain of the daemon, whose region is the daemon's unless the settings state one
         * @return the map
         */
        public RegionMap regionMap(FailureDomain failureDomain) {
            return new RegionMap(region.or(() -> Optional.ofNullable(regions.get(failureDomain))), regions);
        }
    }

    /**
     * How many requests beyond its stated rate a cold upstream may get within one second from all daemons together.
     *
     * @param excess factor on the stated rate
     * @param slack requests added to the product
     */
    public record ColdLimit(double excess, double slack) {}
    /**
     * Creates the settings of a deployment without regions, evacuations and cold upstreams.
     *
     * @param daemon daemon name, which a later process on the same VM may reuse
     * @param failureDomain failure domain of the daemon
     * @param callerEndpoint endpoint for callers
     * @param readinessEndpoint endpoint for the platform's readiness probe
     * @param adminEndpoint endpoint for metrics, if enabled
     * @param peerEndpoint endpoint for other daemons: for their reports (UDP) and for the calls that they pass on (TCP)
     * @param maxConnections maximum number of caller connections, derived from the file descriptor limit
     * @param keyRevocationMillis time within which a revoked key must be refused everywhere, in milliseconds
     * @param configConvergenceMillis time within which a configuration must take effect, in milliseconds
     * @param shutdownGraceMillis time between the shutdown request and the forced kill, in milliseconds
     * @param stallDetectionMillis time within which the head of a group detects a missing member, in milliseconds
     * @param upstreamDrainMillis time for which a draining upstream serves on after the store knows of it, in milliseconds
     * @param bootstrap whether this is the first start of the deployment
     * @param retryRatio retries allowed per call
     * @param extraRetriesPerWindow additional retries allowed per window across all daemons
     * @param retryWindowMillis length of the retry window, in milliseconds
     * @param heartbeatMillis interval at which upstreams write to the store, in milliseconds
     */
    public EntrySettings(
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
            long upstreamDrainMillis,
            boolean bootstrap,
            double retryRatio,
            double extraRetriesPerWindow,
            long retryWindowMillis,
            long heartbeatMillis) {
        this(
                daemon,
                failureDomain,
                callerEndpoint,
                readinessEndpoint,
                adminEndpoint,
                peerEndpoint,
                maxConnections,
                keyRevocationMillis,
                configConvergenceMillis,
                shutdownGraceMillis,
                stallDetectionMillis,
                upstreamDrainMillis,
                bootstrap,
                retryRatio,
                extraRetriesPerWindow,
                retryWindowMillis,
                heartbeatMillis,
                Placement.NONE);
    }
}
