package io.sesamehead.proof.calls;

import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.lease.LeaseDecision;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.proof.FakeStore.StoreResponse;
import io.sesamehead.proof.FakeStore.VersionedValue;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Control-plane tasks that can be in flight when a daemon is stopped: a watch, lease renewals, and orders to engines.
 */
final class ControlTasks {
    private static final long RENEWAL_INTERVAL_MILLIS = 250;
    private static final long ORDER_INTERVAL_MILLIS = 90;
    private static final int MAX_WATCH_MILLIS = 800;

    private final CallSimulation simulation;
    private final SimulatedDaemon daemon;
    private final LeaseHolder leaseHolder;
    private long leaseVersion;
    private boolean renewalInFlight;
    private boolean watchInFlight;
    private boolean releaseSent;
    private boolean releaseAnswered;
    private int ordersInFlight;

    ControlTasks(CallSimulation simulation, SimulatedDaemon daemon) {
        this.simulation = simulation;
        this.daemon = daemon;
        this.leaseHolder = daemon.tables().leaseHolder;
    }

    void start() {
        daemon.process().every(RENEWAL_INTERVAL_MILLIS, this::renew);
        daemon.process().every(ORDER_INTERVAL_MILLIS, this::sendOrder);
        watch();
    }

    /** Returns whether a watch, a lease renewal and an order are all in flight. */
    boolean allInFlight() {
        return watchInFlight && renewalInFlight && ordersInFlight > 0;
    }

    /**
     * Releases the lease. Returns true once the store call for the release has ended or if there is no lease to release
     * and no order in flight.
     */
    boolean releaseLease() {
        if (releaseSent) {
            return releaseAnswered;
        }
        Optional<Lease> content = leaseHolder.release(ordersInFlight);
        if (content.isEmpty()) {
            return ordersInFlight == 0;
        }
        releaseSent = true;
        simulation.checker().leaseReleased(daemon, ordersInFlight);
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

    private void onLeaseRead(Optional<StoreResponse> response) {
        Optional<Lease> read = Optional.empty();
        long version = 0;
        switch (response.orElse(new StoreResponse.Unavailable())) {
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
        if (leaseHolder.decide(now(), read, 0) instanceof LeaseDecision.Write write) {
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
                leaseHolder.accepted(now(), write.lease());
            }
            case StoreResponse.Conflict ignored -> leaseHolder.lost();
            default -> {
                // The next read shows whether the write took effect.
            }
        }
    }

    private void sendOrder() {
        if (!leaseHolder.maySend(now())) {
            return;
        }
        ordersInFlight++;
        Consumer<Boolean> settled =
                daemon.process().bindConsumer(new FirstValueConsumer<>(ignored -> ordersInFlight--));
        Upstream engine = simulation.engine(daemon.domain());
        daemon.process().after(DaemonTables.LEASE_SETTINGS.longestOrderMillis(), () -> settled.accept(false));
        Runnable effect = () -> simulation.network().send(engine.name(), daemon.name(), () -> settled.accept(true));
        daemon.send(engine.name(), engine.process().bind(effect));
    }

    private void watch() {
        watchInFlight = true;
        daemon.process().after(1 + daemon.random().nextInt(MAX_WATCH_MILLIS), () -> {
            watchInFlight = false;
            daemon.process().after(1, this::watch);
        });
    }
}
