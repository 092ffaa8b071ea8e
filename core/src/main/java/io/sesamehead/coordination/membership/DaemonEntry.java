package io.sesamehead.coordination.membership;

import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Incarnation;

/**
 * One daemon as the directory knows it.
 *
 * @param daemon the daemon
 * @param incarnation its incarnation
 * @param failureDomain its failure domain
 * @param peerAddress {@code ip:port} for other daemons
 * @param leaving true once it announced that it stops
 */
public record DaemonEntry(
        DaemonId daemon, Incarnation incarnation, FailureDomain failureDomain, String peerAddress, boolean leaving) {}
