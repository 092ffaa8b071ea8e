package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.lease.HeldLease;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.lease.LeaseDecision;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.proof.FakeStore.StoreResponse;
import io.sesamehead.proof.FakeStore.VersionedValue;
import io.sesamehead.proof.Mechanism;
import java.util.Optional;

/** Takes and renews the controller lease of one daemon. */
final class LeaseLoop {
    private static final String LEASE_OBJECT = "controllers/" + FleetSimulation.DOMAIN.value();
    private static final long CHECK_INTERVAL_MILLIS = FleetTimings.LEASE.ttlMillis() / 3;

    private final FleetDaemon daemon;
    private final LeaseHolder holder;
    private final boolean skipsLeaseWait;
    private Optional<Lease> assumedLease = Optional.empty();
    private Optional<Lease> lastRead = Optional.empty();
    private long assumedSinceMillis;
    private boolean wasHolder;
    private boolean storeCallInFlight;

    LeaseLoop(SimulationContext sim, FleetDaemon daemon) {
        this.daemon = daemon;
        this.skipsLeaseWait = sim.isDisabled(Mechanism.LEASE_WAIT_AND_IDLE_CHECK);
        this.holder = new LeaseHolder(daemon.id(), daemon.node().self().incarnation(), FleetTimings.LEASE);
    }

    void start() {
        daemon.node().process().every(CHECK_INTERVAL_MILLIS, this::check);
    }

    boolean maySend() {
        return skipsLeaseWait ? assumedLease.isPresent() : holder.maySend(daemon.clock());
    }

    Optional<HeldLease> heldLease() {
        return skipsLeaseWait
                ? assumedLease.map(lease -> new HeldLease(lease.epoch(), assumedSinceMillis))
                : holder.heldLease(daemon.clock());
    }

    private void check() {
        if (storeCallInFlight || !(wasHolder || daemon.node().isRelay())) {
            return;
        }
        read();
    }

    private void read() {
        storeCallInFlight = true;
        daemon.node().store().read(LEASE_OBJECT, answer -> {
            storeCallInFlight = false;
            switch (answer) {
                case StoreResponse.Found found -> decide(Optional.of(found.object()));
                case StoreResponse.Missing missing -> decide(Optional.empty());
                default -> wasHolder = heldLease().isPresent();
            }
        });
    }

    private void decide(Optional<VersionedValue> object) {
        Optional<Lease> read = object.map(it -> (Lease) StoredObject.from(it).content());
        long version = object.map(VersionedValue::version).orElse(0L);
        if (skipsLeaseWait) {
            decideWithoutWait(read, version);
            return;
        }
        switch (holder.decide(daemon.clock(), read, daemon.highestControllerEpoch())) {
            case LeaseDecision.Write write -> write(version, write.lease());
            case LeaseDecision.Hold hold -> wasHolder = heldLease().isPresent();
            case LeaseDecision.Wait wait -> {
                wasHolder = false;
                long delayMillis = wait.untilMillis() - daemon.clock() + 1;
                if (delayMillis < CHECK_INTERVAL_MILLIS) {
                    daemon.node().process().after(Math.max(1, delayMillis), this::check);
                }
            }
        }
    }

    /** The broken form takes a lease as soon as it was not renewed between two checks, and never stops by itself. */
    private void decideWithoutWait(Optional<Lease> read, long version) {
        Lease own = new Lease(daemon.id(), daemon.node().self().incarnation(), 0, FleetTimings.LEASE.ttlMillis(), 0);
        boolean mine = read.filter(it -> it.heldBy(own.holder(), own.holderIncarnation()))
                .isPresent();
        boolean unchanged = lastRead.equals(read);
        lastRead = read;
        if (!mine) {
            assumedLease = Optional.empty();
        }
        if (mine || unchanged || read.isEmpty()) {
            long epoch = read.map(Lease::epoch).orElse(0L) + (mine ? 0 : 1);
            long renewals = read.map(Lease::renewals).orElse(0L) + 1;
            write(version, new Lease(own.holder(), own.holderIncarnation(), epoch, own.ttlMillis(), renewals));
        }
        wasHolder = assumedLease.isPresent();
    }

    private void write(long version, Lease lease) {
        storeCallInFlight = true;
        StoredObject value = StoredObject.of(lease, daemon.node().store().nextToken());
        daemon.node().store().write(LEASE_OBJECT, version, value, outcome -> {
            storeCallInFlight = false;
            switch (outcome) {
                case WriteOutcome.Accepted accepted -> recordAccepted(lease);
                case WriteOutcome.Conflict overtaken -> holder.lost();
                default -> {}
            }
            wasHolder = heldLease().isPresent();
        });
    }

    private void recordAccepted(Lease lease) {
        holder.accepted(daemon.clock(), lease);
        if (assumedLease.isEmpty()) {
            assumedSinceMillis = daemon.clock();
        }
        assumedLease = Optional.of(lease);
    }
}
