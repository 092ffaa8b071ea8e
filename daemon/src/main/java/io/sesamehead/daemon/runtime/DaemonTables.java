package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.config.ConfigTable;
import io.sesamehead.coordination.drain.DrainTable;
import io.sesamehead.coordination.drain.ShutdownSequence;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.coordination.membership.DaemonDirectory;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.coordination.membership.RelayAssignment;
import io.sesamehead.state.AssignmentTable;
import io.sesamehead.state.EvidenceTable;
import io.sesamehead.state.FailureDomain;

/**
 * The tables that the tasks of a daemon share, in lock order.
 *
 * @param self this daemon
 * @param config the configuration in force, place 1
 * @param assignments the newest assignments, place 2
 * @param evidence the evidence about VMs, place 3
 * @param directory the known daemons, place 4
 * @param vms the VMs of this failure domain
 * @param drain the upstreams that are leaving
 * @param lease this daemon's part in the controller lease
 * @param shutdown the phase of this daemon
 */
public record DaemonTables(
        DaemonEntry self,
        ConfigTable config,
        AssignmentTable assignments,
        EvidenceTable evidence,
        DaemonDirectory directory,
        VmTable vms,
        DrainTable drain,
        LeaseHolder lease,
        ShutdownSequence shutdown) {
    /**
     * Returns the failure domain of this daemon.
     *
     * @return the failure domain
     */
    public FailureDomain failureDomain() {
        return self.failureDomain();
    }

    /**
     * Tells whether this daemon is one of the two relays of its failure domain.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @return true when it holds the watches
     */
    public boolean isRelay(long nowMillis) {
        return RelayAssignment.relays(failureDomain(), directory.liveIds(nowMillis, failureDomain()))
                .contains(self.daemon());
    }
}
