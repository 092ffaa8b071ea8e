package io.sesamehead.coordination.lease;

import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;

/**
 * Content of the object {@code controllers/<fd>}: the controller lease of a failure domain.
 *
 * @param holder daemon that holds the lease
 * @param holderIncarnation incarnation of that daemon
 * @param epoch fencing token, incremented at each change of holder
 * @param ttlMillis time to live after the holder's last renewal, in milliseconds; 0 once the lease is released
 * @param renewals number of renewals by this holder in this epoch
 */
public record Lease(DaemonId holder, Incarnation holderIncarnation, long epoch, long ttlMillis, long renewals) {
    /**
     * Returns whether the holder has released the lease.
     *
     * @return true if a successor need not wait
     */
    public boolean released() {
        return ttlMillis == 0;
    }

    /**
     * Returns whether the lease is held by the given incarnation of a daemon.
     *
     * @param daemon the daemon
     * @param incarnation its incarnation
     * @return true if both match
     */
    public boolean heldBy(DaemonId daemon, Incarnation incarnation) {
        return holder.equals(daemon) && holderIncarnation.equals(incarnation);
    }

    Lease renewed(long newTtlMillis) {
        return new Lease(holder, holderIncarnation, epoch, newTtlMillis, renewals + 1);
    }
}
