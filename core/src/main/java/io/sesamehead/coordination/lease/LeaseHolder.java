package io.sesamehead.coordination.lease;

import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One daemon's part in the controller lease of its failure domain: when to take, renew and give back the lease, and
 * when orders may be sent. One instance per process. Its own lock is a leaf: no other lock is acquired under it.
 */
public final class LeaseHolder {
    /** Three renewals fit into one ttl, so that one lost write does not lose the lease. */
    private static final int RENEWALS_PER_TTL = 3;

    private final DaemonId self;
    private final Incarnation incarnation;
    private final LeaseSettings settings;

    private Optional<Lease> held = Optional.empty();
    private long renewalSentAtMillis;
    private long heldSinceMillis;
    private Optional<Lease> pending = Optional.empty();
    private long pendingSentAtMillis;
    private boolean observing;
    private Optional<Lease> observed = Optional.empty();
    private long observedSinceMillis;
    private long highestEpoch;
    private boolean stopping;

    /**
     * Creates a daemon that holds no lease.
     *
     * @param self this daemon
     * @param incarnation its incarnation
     * @param settings times of the lease
     */
    public LeaseHolder(DaemonId self, Incarnation incarnation, LeaseSettings settings) {
        this.self = self;
        this.incarnation = incarnation;
        this.settings = settings;
    }

    /**
     * Decides what to do after {@code controllers/<fd>} was read.
     *
     * @param nowMillis present monotonic time, taken after the read ended and before a write is sent, in milliseconds
     * @param read content of the object, or empty when it does not exist
     * @param highestEpochSeen highest controller epoch known from assignments, heartbeats and engine reports, 0 for
     *     none; a store restored from an old copy can hold a lower one
     * @return the decision
     */
    public synchronized LeaseDecision decide(long nowMillis, Optional<Lease> read, long highestEpochSeen) {
        confirmPending(nowMillis, read);
        long readEpoch = read.map(Lease::epoch).orElse(0L);
        highestEpoch = Math.max(highestEpoch, Math.max(highestEpochSeen, readEpoch));
        if (read.isPresent()
                && read.get().heldBy(self, incarnation)
                && !read.get().released()
                && !isRestoredCopy(readEpoch)) {
            return decideAsHolder(nowMillis, read.get());
        }
        held = Optional.empty();
        return decideAsCandidate(nowMillis, read);
    }

    /**
     * Records that the store accepted the write of a lease. The time to live counts from the moment at which
     * {@link #decide} returned that write, which is before it was sent.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param lease the lease that was written
     */
    public synchronized void accepted(long nowMillis, Lease lease) {
        confirmPending(nowMillis, Optional.of(lease));
    }

    /** Records that another daemon holds the lease or that the conditional write was refused. */
    public synchronized void lost() {
        held = Optional.empty();
        pending = Optional.empty();
    }

    /**
     * Tells whether an order may be sent now. Every sender asks immediately before the send.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @return true while an order sent now takes effect before the lease can pass to a successor
     */
    public synchronized boolean maySend(long nowMillis) {
        return !stopping && held.isPresent() && nowMillis < sendDeadlineMillis();
    }

    /**
     * Returns the epoch of the held lease.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @return the epoch, or empty when orders may not be sent
     */
    public synchronized OptionalLong epoch(long nowMillis) {
        return maySend(nowMillis) ? OptionalLong.of(held.get().epoch()) : OptionalLong.empty();
    }

    /**
     * Returns the lease as the controller needs it.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @return the view, or empty when orders may not be sent
     */
    public synchronized Optional<HeldLease> heldLease(long nowMillis) {
        if (!maySend(nowMillis)) {
            return Optional.empty();
        }
        return Optional.of(new HeldLease(held.get().epoch(), heldSinceMillis));
    }

    /**
     * Gives the lease back at shutdown. No order may be sent afterwards. The returned content is written conditionally;
     * it lets a successor in at once, so it is withheld while an order could still take effect.
     *
     * @param ordersInFlight orders that were sent and neither answered nor older than the longest order
     * @return the content to write, or empty when there is nothing to give back or orders are in flight
     */
    public synchronized Optional<Lease> release(int ordersInFlight) {
        stopping = true;
        if (ordersInFlight > 0) {
            return Optional.empty();
        }
        return held.map(lease -> lease.renewed(0));
    }

    private LeaseDecision decideAsHolder(long nowMillis, Lease read) {
        observing = false;
        boolean alreadyHeld = held.isPresent() && held.get().epoch() == read.epoch();
        long renewAtMillis = renewalSentAtMillis + settings.ttlMillis() / RENEWALS_PER_TTL;
        if (stopping || (alreadyHeld && nowMillis < renewAtMillis)) {
            return new LeaseDecision.Hold(renewAtMillis);
        }
        return write(nowMillis, read.renewed(settings.ttlMillis()), LeaseDecision.Kind.RENEW);
    }

    private LeaseDecision decideAsCandidate(long nowMillis, Optional<Lease> read) {
        if (!observing || !observed.equals(read)) {
            observing = true;
            observed = read;
            observedSinceMillis = nowMillis;
        }
        long untilMillis = observedSinceMillis + waitMillis(read);
        if (stopping || nowMillis < untilMillis) {
            return new LeaseDecision.Wait(untilMillis);
        }
        Lease next = new Lease(self, incarnation, highestEpoch + 1, settings.ttlMillis(), 0);
        return write(nowMillis, next, LeaseDecision.Kind.ACQUIRE);
    }

    /** A store that was restored from an old copy lost the lease of a holder that may still send. */
    private boolean isRestoredCopy(long readEpoch) {
        return readEpoch < highestEpoch;
    }

    private long waitMillis(Optional<Lease> read) {
        boolean available = read.map(Lease::released).orElse(true)
                && !isRestoredCopy(read.map(Lease::epoch).orElse(0L));
        if (available) {
            return 0;
        }
        long ttlMillis =
                Math.max(settings.ttlMillis(), read.map(Lease::ttlMillis).orElse(0L));
        return ttlMillis + settings.maxClockDriftMillis() + settings.longestOrderMillis();
    }

    /**
     * A write that is repeated after a lost answer keeps the time of the first one: the first one may be the one that
     * takes effect, and a successor counts from then.
     */
    private LeaseDecision write(long nowMillis, Lease lease, LeaseDecision.Kind kind) {
        if (!pending.equals(Optional.of(lease))) {
            pending = Optional.of(lease);
            pendingSentAtMillis = nowMillis;
        }
        return new LeaseDecision.Write(lease, kind);
    }

    private void confirmPending(long nowMillis, Optional<Lease> stored) {
        if (pending.isEmpty() || !pending.equals(stored)) {
            return;
        }
        boolean continuous =
                held.isPresent() && held.get().epoch() == stored.get().epoch() && nowMillis < sendDeadlineMillis();
        if (!continuous) {
            heldSinceMillis = nowMillis;
        }
        held = pending;
        renewalSentAtMillis = pendingSentAtMillis;
        pending = Optional.empty();
    }

    private long sendDeadlineMillis() {
        return renewalSentAtMillis + settings.ttlMillis() - settings.longestOrderMillis();
    }
}
