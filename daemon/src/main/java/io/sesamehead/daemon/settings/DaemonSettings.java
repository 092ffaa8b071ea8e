package io.sesamehead.daemon.settings;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Validated settings of one daemon process. {@link SettingsReader} builds them from the INI file.
 *
 * @param daemon identity and listening addresses
 * @param platform access to the object API
 * @param peers peer mesh
 * @param lease times of the controller lease
 * @param evidence freshness of evidence
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
     * Identity and listening addresses.
     *
     * @param name name of the daemon
     * @param failureDomain failure domain that the daemon runs in
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
     * @param timeout longest time of one call, except a watch
     * @param callsPerSecond rate of the token bucket
     */
    public record Platform(InetSocketAddress address, Duration timeout, int callsPerSecond) {}

    /**
     * Peer mesh.
     *
     * @param seeds peer addresses that are tried at start
     * @param heartbeat interval of heartbeats within the failure domain
     * @param suspectAfter silence after which a peer counts as dead
     */
    public record Peers(ImmutableList<InetSocketAddress> seeds, Duration heartbeat, Duration suspectAfter) {}

    /**
     * Times of the controller lease.
     *
     * @param ttl validity of one renewal
     * @param drift largest clock drift between two daemons during one ttl
     * @param longestOrder longest time that an order to an engine takes
     */
    public record LeaseTimes(Duration ttl, Duration drift, Duration longestOrder) {}

    /**
     * Freshness of evidence.
     *
     * @param maxAge age after which a report no longer supports serving
     */
    public record EvidenceLimits(Duration maxAge) {}

    /**
     * Limits of the caller port.
     *
     * @param concurrentCalls calls that run at once
     * @param queueLength calls that wait for admission at once
     * @param bodyBytes largest request body, in bytes
     */
    public record Limits(int concurrentCalls, int queueLength, int bodyBytes) {}

    /**
     * Graceful shutdown.
     *
     * @param grace longest time that a shutdown waits for calls in flight
     */
    public record Shutdown(Duration grace) {}

    /**
     * Logging.
     *
     * @param level least severe level that is written: trace, debug, info, warn or error
     */
    public record Log(String level) {}
}
