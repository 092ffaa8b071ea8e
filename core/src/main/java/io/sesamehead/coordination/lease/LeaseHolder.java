package io.sesamehead.coordination.lease;

import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides for one daemon when to acquire, renew and release the controller lease of its failure domain, and when orders
 * may be sent under it. One instance per process. Thread-safe; its lock is a leaf lock: no other lock is acquired while
 * it is held.
 */
public final class LeaseHolder {
    /** Number of renewals per TTL, so that one lost write does not lose the lease. */
    private static final int RENEWALS_PER_TTL = 3;
    /**
     * Epochs that are reserved for each era of the store. A holder cannot know the epochs that were given out in the part
     * of an older era that a restored store has lost.
     */
    private static final long EPOCHS_PER_ERA = 256;
    /** Keeps the epochs of groups, which have 20 bits more, within the integers that JSON numbers hold exactly. */
    private static final long ERA_MODULUS = 1L << 24;

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
    private long firstEpochOfEra;
    /** Whether the present era of the store has accepted a write of the held lease. */
    private boolean heldInEra;

    private boolean stopping;

    /**
     * Creates an instance that holds no lease.
     *
     * @param self this daemon
     * @param incarnation its incarnation
     * @param settings timing of the lease
     */
    public LeaseHolder(DaemonId self, Incarnation incarnation, LeaseSettings settings) {
        this.self = self;
        this.incarnation = incarnation;
        this.settings = settings;
    }

    /**
     * Decides the next step after {@code controllers/<fd>} has been read.
     *
     * @param nowMillis current monotonic time, taken after the read has ended and before a write is sent, in
     *     milliseconds
     * @param read content of the object, or empty if it does not exist
     * @param highestEpochSeen highest controller epoch known from assignments, heartbeats and engine reports, or 0 if
     *     there is none; a store restored from a backup can contain a lower epoch
     * @return the decision
     */
    public synchronized LeaseDecision decide(long nowMillis, Optional<Lease> read, long highestEpochSeen) {
        return decide(nowMillis, read, highestEpochSeen, 0);
    }

    /**
     * Decides the next step after {@code controllers/<fd>} has been read.
     *
     * @param nowMillis current monotonic time, taken after the read has ended and before a write is sent, in
     *     milliseconds
     * @param read content of the object, or empty if it does not exist
     * @param highestEpochSeen highest controller epoch known from other daemons, or 0 if there is none; a store restored
     *     from a backup can contain a lower epoch
     * @param upstreamEpoch highest controller epoch in the entries of upstreams, or 0 if there is none. It limits what may
     *     be acquired, but does not end a lease that is held
     * @return the decision
     */
    public synchronized LeaseDecision decide(
            long nowMillis, Optional<Lease> read, long highestEpochSeen, long upstreamEpoch) {
        confirmPending(nowMillis, read);
        long readEpoch = read.map(Lease::epoch).orElse(0L);
        highestEpoch = Math.max(highestEpoch, Math.max(highestEpochSeen, readEpoch));
        if (mayContinue(nowMillis)) {
            observing = false;
            Lease last = held.get().renewals() >= read.map(Lease::renewals).orElse(0L) ? held.get() : read.get();
            return write(
                    nowMillis,
                    new Lease(self, incarnation, held.get().epoch(), settings.ttlMillis(), last.renewals() + 1),
                    LeaseDecision.Kind.RENEW);
        }
        if (read.isPresent()
                && read.get().heldBy(self, incarnation)
                && !read.get().released()
                && !isRestoredCopy(readEpoch)
                && (isOfPresentEra(readEpoch) || held.isPresent())) {
            return decideAsHolder(nowMillis, read.get());
        }
        held = Optional.empty();
        return decideAsCandidate(nowMillis, read, upstreamEpoch);
    }

    /**
     * Records the store's era as read. Leases of older eras may have been lost in a restore.
     *
     * @param era the era
     */
    public synchronized void recordEra(long era) {
        firstEpochOfEra = Math.max(firstEpochOfEra, era % ERA_MODULUS * EPOCHS_PER_ERA);
    }

    /**
     * Records that the store was restored from a copy. No order may be sent until the store has accepted a write of the
     * lease again. While the held lease is within its TTL, no other daemon can have acquired it, before or after the
     * restore, and it may be written again at once; otherwise this daemon has to wait as any other.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the lease is still held and should be written again soon
     */
    public synchronized boolean recordRestore(long nowMillis) {
        heldInEra = false;
        pending = Optional.empty();
        observing = false;
        if (!isWithinTtl(nowMillis)) {
            held = Optional.empty();
        }
        return held.isPresent();
    }

    private boolean mayContinue(long nowMillis) {
        return !stopping
                && held.isPresent()
                && !heldInEra
                && isWithinTtl(nowMillis)
                && !isRestoredCopy(held.get().epoch());
    }

    private boolean isWithinTtl(long nowMillis) {
        return held.isPresent() && nowMillis < renewalSentAtMillis + settings.ttlMillis();
    }

    private boolean isOfPresentEra(long epoch) {
        return epoch >= firstEpochOfEra;
    }

    /**
     * Records that the store accepted the write of a lease. The TTL starts when {@link #decide} returned that write,
     * which is before the write was sent.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param lease the lease that was written
     */
    public synchronized void accepted(long nowMillis, Lease lease) {
        confirmPending(nowMillis, Optional.of(lease));
    }

    /** Records that another daemon holds the lease or that the conditional write was rejected. */
    public synchronized void lost() {
        held = Optional.empty();
        pending = Optional.empty();
    }

    /**
     * Returns whether an order may be sent now. Every sender must check this immediately before sending.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if an order sent now takes effect before a successor can acquire the lease
     */
    public synchronized boolean maySend(long nowMillis) {
        return !stopping && held.isPresent() && heldInEra && nowMillis < sendDeadlineMillis();
    }

    /**
     * Returns the epoch of the held lease.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the epoch, or empty if orders may not be sent
     */
    public synchronized OptionalLong epoch(long nowMillis) {
        return maySend(nowMillis) ? OptionalLong.of(held.get().epoch()) : OptionalLong.empty();
    }

    /**
     * Returns the epoch of the held lease and the time since when it has been held without interruption.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the held lease, or empty if orders may not be sent
     */
    public synchronized Optional<HeldLease> heldLease(long nowMillis) {
        if (!maySend(nowMillis)) {
            return Optional.empty();
        }
        return Optional.of(new HeldLease(held.get().epoch(), heldSinceMillis));
    }

    /**
     * Releases the lease at shutdown. No order may be sent afterwards. The returned content is to be written
     * conditionally. Once written, a successor can acquire the lease immediately, so no content is returned while an
     * order could still take effect.
     *
     * @param ordersInFlight number of orders that were sent, have not been answered and may still take effect within
     *     the longest order time
     * @return the content to write, or empty if no lease is held or orders are in flight
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

    private LeaseDecision decideAsCandidate(long nowMillis, Optional<Lease> read, long upstreamEpoch) {
        if (!observing || !observed.equals(read)) {
            observing = true;
            observed = read;
            observedSinceMillis = nowMillis;
        }
        long untilMillis = observedSinceMillis + waitMillis(read, upstreamEpoch);
        if (stopping || nowMillis < untilMillis) {
            return new LeaseDecision.Wait(untilMillis);
        }
        long epoch = Math.max(Math.max(highestEpoch, upstreamEpoch) + 1, firstEpochOfEra);
        Lease next = new Lease(self, incarnation, epoch, settings.ttlMillis(), 0);
        return write(nowMillis, next, LeaseDecision.Kind.ACQUIRE);
    }

    /**
     * Returns whether the lease was read from a store that was restored from a backup. Such a store has lost the lease
     * of a holder that may still send.
     */
    private boolean isRestoredCopy(long readEpoch) {
        return readEpoch < highestEpoch;
    }

    /** A lease that was released in an older era may have been acquired again in the part that the store has lost. */
    private long waitMillis(Optional<Lease> read, long upstreamEpoch) {
        long readEpoch = read.map(Lease::epoch).orElse(0L);
        boolean available = read.map(lease -> lease.released() && isOfPresentEra(lease.epoch()))
                        .orElse(true)
                && !isRestoredCopy(readEpoch)
                && readEpoch >= upstreamEpoch;
        if (available) {
            return 0;
        }
        long ttlMillis =
                Math.max(settings.ttlMillis(), read.map(Lease::ttlMillis).orElse(0L));
        return ttlMillis + settings.maxClockDriftMillis() + settings.longestOrderMillis();
    }

    /**
     * Returns the decision to write a lease. A write repeated after a lost answer keeps the time of the first attempt:
     * that attempt may be the one that takes effect, and a successor waits from then.
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
        boolean continuous = held.isPresent()
                && heldInEra
                && held.get().epoch() == stored.get().epoch()
                && nowMillis < sendDeadlineMillis();
        if (!continuous) {
            heldSinceMillis = nowMillis;
        }
        held = pending;
        heldInEra = true;
        renewalSentAtMillis = pendingSentAtMillis;
        pending = Optional.empty();
    }

    private long sendDeadlineMillis() {
        return renewalSentAtMillis + settings.ttlMillis() - settings.longestOrderMillis();
    }
}
