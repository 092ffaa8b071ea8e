package io.sesamehead.coordination.lease;

import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;

/**
 * Content of {@code controllers/<fd>}: who controls a failure domain.
 *
 * @param holder daemon that holds the lease
 * @param holderIncarnation incarnation of that daemon
 * @param epoch fencing number, one higher at each change of holder
 * @param ttlMillis time to live from the holder's last renewal, in milliseconds; 0 once the lease was given back
 * @param renewals renewals by this holder under this epoch
 */
public record Lease(DaemonId holder, Incarnation holderIncarnation, long epoch, long ttlMillis, long renewals) {
    /**
     * Tells whether the holder gave the lease back.
     *
     * @return true when a successor need not wait
     */
    public boolean released() {
        return ttlMillis == 0;
    }

    /**
     * Tells whether a process wrote this lease.
     *
     * @param daemon the daemon
     * @param incarnation its incarnation
     * @return true when both match
     */
    public boolean heldBy(DaemonId daemon, Incarnation incarnation) {
        return holder.equals(daemon) && holderIncarnation.equals(incarnation);
    }

    Lease renewed(long newTtlMillis) {
        return new Lease(holder, holderIncarnation, epoch, newTtlMillis, renewals + 1);
    }
}
