package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.group.Controller;
import io.sesamehead.coordination.group.ControllerAction;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.state.MemberReport;
import java.util.Optional;

/** Sends control orders, each only while the lease allows it at the moment of the check. */
final class OrderSender {
    private static final long MAX_QUEUE_DELAY_MILLIS = 20;

    private final FleetSimulation simulation;
    private final FleetDaemon daemon;
    private final Controller controller;

    OrderSender(FleetSimulation world, FleetDaemon daemon, Controller controller) {
        this.simulation = world;
        this.daemon = daemon;
        this.controller = controller;
    }

    void send(ControllerAction.Order order) {
        daemon.node()
                .process()
                .after(simulation.context().randomMillis(0, MAX_QUEUE_DELAY_MILLIS), () -> checkAndSend(order));
    }

    private void checkAndSend(ControllerAction.Order order) {
        boolean unchecked = simulation.context().isDisabled(Mechanism.LEASE_WAIT_AND_IDLE_CHECK);
        boolean allowed = unchecked || (daemon.lease().maySend() && controller.startSend(daemon.clock(), order));
        if (!allowed) {
            controller.recordAnswered(order);
            return;
        }
        long checkedMillis = simulation.context().nowMillis();
        long beforeMillis = daemon.clock();
        simulation.faultInjector().maybeFreezeBeforeSend(daemon.id());
        daemon.node().process().after(1, () -> transmit(order, checkedMillis, beforeMillis));
    }

    private void transmit(ControllerAction.Order order, long checkedMillis, long beforeMillis) {
        long sentMillis = simulation.context().nowMillis();
        Engine engine = simulation.engine(order.vm().id());
        simulation.sendToEngine(daemon, engine, simulation.faultInjector().orderDelayMillis(), () -> {
            simulation.checker().checkOrder(engine, order, checkedMillis, sentMillis);
            engine.applyOrder(order);
            MemberReport report = engine.report();
            simulation.sendFromEngine(engine, daemon, () -> handleAnswer(order, report, beforeMillis));
        });
    }

    /** An answer after the longest order time is no longer read. */
    private void handleAnswer(ControllerAction.Order order, MemberReport report, long beforeMillis) {
        if (daemon.clock() - beforeMillis <= FleetTimings.LEASE.longestOrderMillis()) {
            daemon.prober().record(order.vm().id(), Optional.of(report), beforeMillis);
            controller.recordAnswered(order);
        }
    }
}
