package io.sesamehead.proof.calls;

import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.lease.LeaseDecision;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.proof.FakeStore.StoreAnswer;
import io.sesamehead.proof.FakeStore.Versioned;
import java.util.Optional;
import java.util.function.Consumer;

/** The control work of a daemon that can be open at a stop: a watch, the lease, and orders to engines. */
final class ControlTasks {
    private static final long RENEW_MILLIS = 250;
    private static final long ORDER_MILLIS = 90;
    private static final int WATCH_MILLIS = 800;

    private final World world;
    private final CallsDaemon daemon;
    private final LeaseHolder lease;
    private long leaseVersion;
    private boolean leaseCallOpen;
    private boolean watchOpen;
    private boolean giveBackSent;
    private boolean giveBackAnswered;
    private int ordersInFlight;

    ControlTasks(World world, CallsDaemon daemon) {
        this.world = world;
        this.daemon = daemon;
        this.lease = daemon.tables().lease;
    }

    void start() {
        daemon.process().every(RENEW_MILLIS, this::renew);
        daemon.process().every(ORDER_MILLIS, this::order);
        watch();
    }

    /** True while a watch, a lease renewal and an order are open. */
    boolean allOpen() {
        return watchOpen && leaseCallOpen && ordersInFlight > 0;
    }

    /** Gives the lease back; true once that is done or there is nothing to give back. */
    boolean giveBack() {
        if (giveBackSent) {
            return giveBackAnswered;
        }
        Optional<Lease> content = lease.release(ordersInFlight);
        if (content.isEmpty()) {
            return ordersInFlight == 0;
        }
        giveBackSent = true;
        world.checks().gaveLeaseBack(daemon, ordersInFlight);
        daemon.storePort().write(objectName(), leaseVersion, content.get(), ignored -> giveBackAnswered = true);
        return false;
    }

    private String objectName() {
        return "controllers/" + daemon.domain();
    }

    private long now() {
        return daemon.process().nowMillis();
    }

    private void renew() {
        if (leaseCallOpen || giveBackSent) {
            return;
        }
        leaseCallOpen = true;
        daemon.storePort().read(objectName(), this::leaseRead);
    }

    private void leaseRead(Optional<StoreAnswer> answer) {
        Optional<Lease> read = Optional.empty();
        long version = 0;
        switch (answer.orElse(new StoreAnswer.Unavailable())) {
            case StoreAnswer.Found(Versioned(long found, Object value)) -> {
                read = Optional.of((Lease) value);
                version = found;
            }
            case StoreAnswer.Missing ignored -> {}
            default -> {
                leaseCallOpen = false;
                return;
            }
        }
        leaseVersion = version;
        if (lease.decide(now(), read, 0) instanceof LeaseDecision.Write write) {
            daemon.storePort().write(objectName(), version, write.lease(), result -> leaseWritten(write, result));
        } else {
            leaseCallOpen = false;
        }
    }

    private void leaseWritten(LeaseDecision.Write write, Optional<StoreAnswer> result) {
        leaseCallOpen = false;
        switch (result.orElse(new StoreAnswer.Lost())) {
            case StoreAnswer.Found(Versioned(long version, Object ignored)) -> {
                leaseVersion = version;
                lease.accepted(now(), write.lease());
            }
            case StoreAnswer.Conflict ignored -> lease.lost();
            default -> {
                // The next read tells what became of the write.
            }
        }
    }

    private void order() {
        if (!lease.maySend(now())) {
            return;
        }
        ordersInFlight++;
        Consumer<Boolean> settled = daemon.process().receiver(new Once<>(ignored -> ordersInFlight--));
        Upstream engine = world.engine(daemon.domain());
        daemon.process().after(DaemonTables.LEASE.longestOrderMillis(), () -> settled.accept(false));
        Runnable effect = () -> world.network().send(engine.name(), daemon.name(), () -> settled.accept(true));
        daemon.send(engine.name(), engine.process().step(effect));
    }

    private void watch() {
        watchOpen = true;
        daemon.process().after(1 + daemon.random().nextInt(WATCH_MILLIS), () -> {
            watchOpen = false;
            daemon.process().after(1, this::watch);
        });
    }
}
