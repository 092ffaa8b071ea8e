package io.sesamehead.proof.calls;

import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.lease.LeaseDecision;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.proof.FakeStore.StoreResponse;
import io.sesamehead.proof.FakeStore.VersionedValue;
import java.util.Optional;
import java.util.function.Consumer;

/** The control work of a daemon that can be open at a stop: a watch, the lease, and orders to engines. */
final class ControlTasks {
    private static final long RENEWAL_INTERVAL_MILLIS = 250;
    private static final long ORDER_INTERVAL_MILLIS = 90;
    private static final int MAX_WATCH_MILLIS = 800;

    private final CallSimulation world;
    private final SimulatedDaemon daemon;
    private final LeaseHolder lease;
    private long leaseVersion;
    private boolean renewalInFlight;
    private boolean watchOpen;
    private boolean releaseSent;
    private boolean releaseAnswered;
    private int ordersInFlight;

    ControlTasks(CallSimulation world, SimulatedDaemon daemon) {
        this.world = world;
        this.daemon = daemon;
        this.lease = daemon.tables().leaseHolder;
    }

    void start() {
        daemon.process().every(RENEWAL_INTERVAL_MILLIS, this::renew);
        daemon.process().every(ORDER_INTERVAL_MILLIS, this::sendOrder);
        watch();
    }

    /** True while a watch, a lease renewal and an order are open. */
    boolean allInFlight() {
        return watchOpen && renewalInFlight && ordersInFlight > 0;
    }

    /** Gives the lease back; true once that is done or there is nothing to give back. */
    boolean releaseLease() {
        if (releaseSent) {
            return releaseAnswered;
        }
        Optional<Lease> content = lease.release(ordersInFlight);
        if (content.isEmpty()) {
            return ordersInFlight == 0;
        }
        releaseSent = true;
        world.checker().leaseReleased(daemon, ordersInFlight);
        daemon.storeClient().write(objectName(), leaseVersion, content.get(), ignored -> releaseAnswered = true);
        return false;
    }

    private String objectName() {
        return "controllers/" + daemon.domain();
    }

    private long now() {
        return daemon.process().nowMillis();
    }

    private void renew() {
        if (renewalInFlight || releaseSent) {
            return;
        }
        renewalInFlight = true;
        daemon.storeClient().read(objectName(), this::onLeaseRead);
    }

    private void onLeaseRead(Optional<StoreResponse> answer) {
        Optional<Lease> read = Optional.empty();
        long version = 0;
        switch (answer.orElse(new StoreResponse.Unavailable())) {
            case StoreResponse.Found(VersionedValue(long found, Object value)) -> {
                read = Optional.of((Lease) value);
                version = found;
            }
            case StoreResponse.Missing ignored -> {}
            default -> {
                renewalInFlight = false;
                return;
            }
        }
        leaseVersion = version;
        if (lease.decide(now(), read, 0) instanceof LeaseDecision.Write write) {
            daemon.storeClient().write(objectName(), version, write.lease(), result -> onLeaseWritten(write, result));
        } else {
            renewalInFlight = false;
        }
    }

    private void onLeaseWritten(LeaseDecision.Write write, Optional<StoreResponse> result) {
        renewalInFlight = false;
        switch (result.orElse(new StoreResponse.ResponseLost())) {
            case StoreResponse.Found(VersionedValue(long version, Object ignored)) -> {
                leaseVersion = version;
                lease.accepted(now(), write.lease());
            }
            case StoreResponse.Conflict ignored -> lease.lost();
            default -> {
                // The next read tells what became of the write.
            }
        }
    }

    private void sendOrder() {
        if (!lease.maySend(now())) {
            return;
        }
        ordersInFlight++;
        Consumer<Boolean> settled = daemon.process().bindConsumer(new FirstValueConsumer<>(ignored -> ordersInFlight--));
        Upstream engine = world.engine(daemon.domain());
        daemon.process().after(DaemonTables.LEASE_SETTINGS.longestOrderMillis(), () -> settled.accept(false));
        Runnable effect = () -> world.network().send(engine.name(), daemon.name(), () -> settled.accept(true));
        daemon.send(engine.name(), engine.process().bind(effect));
    }

    private void watch() {
        watchOpen = true;
        daemon.process().after(1 + daemon.random().nextInt(MAX_WATCH_MILLIS), () -> {
            watchOpen = false;
            daemon.process().after(1, this::watch);
        });
    }
}
