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
    private static final String OBJECT = "controllers/" + FleetWorld.DOMAIN.value();
    private static final long CHECK_MILLIS = FleetTimes.LEASE.ttlMillis() / 3;

    private final FleetDaemon daemon;
    private final LeaseHolder holder;
    private final boolean withoutWait;
    private Optional<Lease> assumed = Optional.empty();
    private Optional<Lease> lastRead = Optional.empty();
    private long assumedSinceMillis;
    private boolean wasHolder;
    private boolean busy;

    LeaseLoop(Simulation sim, FleetDaemon daemon) {
        this.daemon = daemon;
        this.withoutWait = sim.off(Mechanism.LEASE_WAIT_AND_IDLE_CHECK);
        this.holder = new LeaseHolder(daemon.id(), daemon.node().self().incarnation(), FleetTimes.LEASE);
    }

    void start() {
        daemon.node().process().every(CHECK_MILLIS, this::check);
    }

    boolean maySend() {
        return withoutWait ? assumed.isPresent() : holder.maySend(daemon.clock());
    }

    Optional<HeldLease> view() {
        return withoutWait
                ? assumed.map(lease -> new HeldLease(lease.epoch(), assumedSinceMillis))
                : holder.heldLease(daemon.clock());
    }

    private void check() {
        if (busy || !(wasHolder || daemon.node().isRelay())) {
            return;
        }
        read();
    }

    private void read() {
        busy = true;
        daemon.node().store().read(OBJECT, answer -> {
            busy = false;
            switch (answer) {
                case StoreResponse.Found found -> decide(Optional.of(found.object()));
                case StoreResponse.Missing missing -> decide(Optional.empty());
                default -> wasHolder = view().isPresent();
            }
        });
    }

    private void decide(Optional<VersionedValue> object) {
        Optional<Lease> read = object.map(it -> (Lease) StoredObject.in(it).content());
        long version = object.map(VersionedValue::version).orElse(0L);
        if (withoutWait) {
            decideWithoutWait(read, version);
            return;
        }
        switch (holder.decide(daemon.clock(), read, daemon.highestControllerEpoch())) {
            case LeaseDecision.Write write -> write(version, write.lease());
            case LeaseDecision.Hold hold -> wasHolder = view().isPresent();
            case LeaseDecision.Wait wait -> {
                wasHolder = false;
                long delayMillis = wait.untilMillis() - daemon.clock() + 1;
                if (delayMillis < CHECK_MILLIS) {
                    daemon.node().process().after(Math.max(1, delayMillis), this::check);
                }
            }
        }
    }

    /** The broken form takes a lease as soon as it was not renewed between two checks, and never stops by itself. */
    private void decideWithoutWait(Optional<Lease> read, long version) {
        Lease own = new Lease(daemon.id(), daemon.node().self().incarnation(), 0, FleetTimes.LEASE.ttlMillis(), 0);
        boolean mine = read.filter(it -> it.heldBy(own.holder(), own.holderIncarnation()))
                .isPresent();
        boolean unchanged = lastRead.equals(read);
        lastRead = read;
        if (!mine) {
            assumed = Optional.empty();
        }
        if (mine || unchanged || read.isEmpty()) {
            long epoch = read.map(Lease::epoch).orElse(0L) + (mine ? 0 : 1);
            long renewals = read.map(Lease::renewals).orElse(0L) + 1;
            write(version, new Lease(own.holder(), own.holderIncarnation(), epoch, own.ttlMillis(), renewals));
        }
        wasHolder = assumed.isPresent();
    }

    private void write(long version, Lease lease) {
        busy = true;
        StoredObject value = StoredObject.of(lease, daemon.node().store().nextToken());
        daemon.node().store().write(OBJECT, version, value, outcome -> {
            busy = false;
            switch (outcome) {
                case WriteOutcome.Accepted accepted -> accepted(lease);
                case WriteOutcome.Overtaken overtaken -> holder.lost();
                default -> {}
            }
            wasHolder = view().isPresent();
        });
    }

    private void accepted(Lease lease) {
        holder.accepted(daemon.clock(), lease);
        if (assumed.isEmpty()) {
            assumedSinceMillis = daemon.clock();
        }
        assumed = Optional.of(lease);
    }
}
