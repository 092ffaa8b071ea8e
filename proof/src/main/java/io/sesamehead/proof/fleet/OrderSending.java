package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.group.Controller;
import io.sesamehead.coordination.group.ControllerAction;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.state.MemberReport;
import java.util.Optional;

/** Sends control orders, each only while the lease allows it at the moment of the check. */
final class OrderSending {
    private static final long WORKER_MILLIS = 20;

    private final FleetWorld world;
    private final FleetDaemon daemon;
    private final Controller controller;

    OrderSending(FleetWorld world, FleetDaemon daemon, Controller controller) {
        this.world = world;
        this.daemon = daemon;
        this.controller = controller;
    }

    void send(ControllerAction.Order order) {
        daemon.node().process().after(world.sim().between(0, WORKER_MILLIS), () -> checkAndSend(order));
    }

    private void checkAndSend(ControllerAction.Order order) {
        boolean unchecked = world.sim().off(Mechanism.LEASE_WAIT_AND_IDLE_CHECK);
        boolean allowed = unchecked || (daemon.lease().maySend() && controller.startSend(daemon.clock(), order));
        if (!allowed) {
            controller.recordAnswered(order);
            return;
        }
        long checkedMillis = world.sim().nowMillis();
        long beforeMillis = daemon.clock();
        world.faults().betweenCheckAndSend(daemon.id());
        daemon.node().process().after(1, () -> transmit(order, checkedMillis, beforeMillis));
    }

    private void transmit(ControllerAction.Order order, long checkedMillis, long beforeMillis) {
        long sentMillis = world.sim().nowMillis();
        Engine engine = world.engine(order.vm().id());
        world.toEngine(daemon, engine, world.faults().orderDelayMillis(), () -> {
            world.checks().beforeOrder(engine, order, checkedMillis, sentMillis);
            engine.take(order);
            MemberReport report = engine.report();
            world.fromEngine(engine, daemon, () -> answered(order, report, beforeMillis));
        });
    }

    /** An answer after the longest order time is no longer read. */
    private void answered(ControllerAction.Order order, MemberReport report, long beforeMillis) {
        if (daemon.clock() - beforeMillis <= FleetTimes.LEASE.longestOrderMillis()) {
            daemon.probing().record(order.vm().id(), Optional.of(report), beforeMillis);
            controller.recordAnswered(order);
        }
    }
}
