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
 * The tables shared by the tasks of a daemon, in lock order.
 *
 * @param self entry of this daemon
 * @param config the configuration in force, lock order 1
 * @param assignments the newest assignments, lock order 2
 * @param evidence the evidence about VMs, lock order 3
 * @param directory the known daemons, lock order 4
 * @param vms the VMs of this failure domain
 * @param drain the upstreams that are leaving
 * @param lease this daemon's state of the controller lease
 * @param shutdown the shutdown phase of this daemon
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
     * Returns whether this daemon is one of the two relays of its failure domain.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if this daemon is a relay and therefore holds the store watches
     */
    public boolean isRelay(long nowMillis) {
        return RelayAssignment.relays(failureDomain(), directory.liveIds(nowMillis, failureDomain()))
                .contains(self.daemon());
    }
}
