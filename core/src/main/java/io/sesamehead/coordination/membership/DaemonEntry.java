package io.sesamehead.coordination.membership;

import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Incarnation;

/**
 * Directory entry of one daemon.
 *
 * @param daemon the daemon
 * @param incarnation its incarnation
 * @param failureDomain its failure domain
 * @param peerAddress {@code ip:port} at which other daemons reach it
 * @param leaving whether it has announced that it is shutting down
 */
public record DaemonEntry(
        DaemonId daemon, Incarnation incarnation, FailureDomain failureDomain, String peerAddress, boolean leaving) {}
