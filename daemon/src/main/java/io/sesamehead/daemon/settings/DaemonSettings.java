package io.sesamehead.daemon.settings;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Validated settings of one daemon process. {@link SettingsReader} builds them from the INI file.
 *
 * @param daemon identity and listen addresses
 * @param platform access to the object API
 * @param peers connections to other daemons
 * @param lease timing of the controller lease
 * @param evidence limits on the age of evidence
 * @param limits limits of the caller port
 * @param shutdown graceful shutdown
 * @param log logging
 */
public record DaemonSettings(
        Identity daemon,
        Platform platform,
        Peers peers,
        LeaseTimes lease,
        EvidenceLimits evidence,
        Limits limits,
        Shutdown shutdown,
        Log log) {

    /**
     * Identity and listen addresses of the daemon.
     *
     * @param name name of the daemon
     * @param failureDomain failure domain in which the daemon runs
     * @param region region of the failure domain
     * @param callerAddress address of the caller port
     * @param peerAddress address of the peer mesh
     * @param adminAddress address of the admin port
     */
    public record Identity(
            DaemonId name,
            FailureDomain failureDomain,
            String region,
            InetSocketAddress callerAddress,
            InetSocketAddress peerAddress,
            InetSocketAddress adminAddress) {}

    /**
     * Access to the platform's object API.
     *
     * @param address address of the API
     * @param timeout timeout of a call, except for a watch
     * @param callsPerSecond refill rate and capacity of the token bucket
     */
    public record Platform(InetSocketAddress address, Duration timeout, int callsPerSecond) {}

    /**
     * Connections to other daemons.
     *
     * @param seeds peer addresses to contact at startup
     * @param heartbeat heartbeat interval within the failure domain
     * @param suspectAfter time without messages after which a peer is considered dead
     */
    public record Peers(ImmutableList<InetSocketAddress> seeds, Duration heartbeat, Duration suspectAfter) {}

    /**
     * Timing of the controller lease.
     *
     * @param ttl validity period of a renewal
     * @param drift maximum clock drift between two daemons during one ttl
     * @param longestOrder maximum duration of an order to an engine
     */
    public record LeaseTimes(Duration ttl, Duration drift, Duration longestOrder) {}

    /**
     * Limits on the age of evidence.
     *
     * @param maxAge maximum age of a report that still counts as evidence for serving
     */
    public record EvidenceLimits(Duration maxAge) {}

    /**
     * Limits of the caller port.
     *
     * @param concurrentCalls maximum number of calls that run concurrently
     * @param queueLength maximum number of calls that wait for admission
     * @param bodyBytes maximum size of a request body, in bytes
     */
    public record Limits(int concurrentCalls, int queueLength, int bodyBytes) {}

    /**
     * Graceful shutdown.
     *
     * @param grace maximum time that a shutdown waits for calls in flight
     */
    public record Shutdown(Duration grace) {}

    /**
     * Logging.
     *
     * @param level minimum severity that is logged: trace, debug, info, warn or error
     */
    public record Log(String level) {}
}
