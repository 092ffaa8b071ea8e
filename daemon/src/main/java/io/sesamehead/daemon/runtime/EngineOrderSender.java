package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.group.Controller;
import io.sesamehead.coordination.group.ControllerAction;
import io.sesamehead.daemon.protocol.EngineOrder;
import io.sesamehead.daemon.transport.EngineClient;
import io.sesamehead.daemon.transport.OrderResult;
import io.sesamehead.state.Group;
import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/** Sends control orders to engines, each only while the lease allows it at the moment of the send. */
public final class EngineOrderSender {
    private final DaemonTables tables;
    private final Controller controller;
    private final EngineClient engines;
    private final ProbeTask probes;
    private final WorkerPool workers;
    private final Duration longestOrder;
    private final LongSupplier clock;
    private final Queue<ControllerAction.Order> answered = new ConcurrentLinkedQueue<>();

    /**
     * Creates the sender.
     *
     * @param tables the tables of this daemon
     * @param controller allows each send
     * @param engines client of the engines
     * @param probes records the status that answers an order
     * @param workers run the sends
     * @param longestOrder longest time of an order
     * @param clock monotonic clock, in milliseconds
     */
    public EngineOrderSender(
            DaemonTables tables,
            Controller controller,
            EngineClient engines,
            ProbeTask probes,
            WorkerPool workers,
            Duration longestOrder,
            LongSupplier clock) {
        this.tables = tables;
        this.controller = controller;
        this.engines = engines;
        this.probes = probes;
        this.workers = workers;
        this.longestOrder = longestOrder;
        this.clock = clock;
    }

    /**
     * Sends an order on a worker thread.
     *
     * @param order the order
     */
    public void send(ControllerAction.Order order) {
        if (!workers.run("order", () -> sendNow(order))) {
            answered.add(order);
        }
    }

    /**
     * Hands over the orders that were answered or certainly not sent since the last call.
     *
     * @param sink takes each order
     */
    public void drainAnswered(Consumer<ControllerAction.Order> sink) {
        for (ControllerAction.Order order = answered.poll(); order != null; order = answered.poll()) {
            sink.accept(order);
        }
    }

    private void sendNow(ControllerAction.Order order) {
        EngineOrder message = message(order);
        long beforeMillis = clock.getAsLong();
        OrderResult result = engines.order(
                order.vm().engineAddress(),
                message,
                longestOrder,
                () -> tables.lease().maySend(clock.getAsLong()) && controller.startSend(clock.getAsLong(), order));
        switch (result) {
            case OrderResult.Accepted(var status) -> {
                Logger.info("group: {} took order {}", order.vm().id(), order.orderId());
                probes.record(order.vm(), Optional.of(status.report()), beforeMillis);
            }
            case OrderResult.Fenced(String detail) ->
                Logger.warn(
                        "group: {} refused order {} as stale: {}", order.vm().id(), order.orderId(), detail);
            case OrderResult.Refused(int status, String detail) ->
                Logger.warn("group: {} refused order {}: {} {}", order.vm().id(), order.orderId(), status, detail);
            case OrderResult.NotSent(String detail) ->
                Logger.warn(
                        "group: order {} did not reach {}: {}",
                        order.orderId(),
                        order.vm().id(),
                        detail);
            case OrderResult.Unknown(String detail) -> {
                Logger.warn("group: outcome of order {} is not known: {}", order.orderId(), detail);
                return;
            }
        }
        answered.add(order);
    }

    private EngineOrder message(ControllerAction.Order order) {
        return switch (order) {
            case ControllerAction.SendLoad load ->
                new EngineOrder.Load(
                        load.orderId(),
                        load.epoch(),
                        tables.failureDomain(),
                        load.group().id(),
                        load.group().model(),
                        load.group().version(),
                        members(load.group()),
                        load.rank(),
                        load.headAddress());
            case ControllerAction.SendRole role ->
                new EngineOrder.Role(
                        role.orderId(),
                        role.epoch(),
                        tables.failureDomain(),
                        role.group().id(),
                        members(role.group()),
                        role.rank(),
                        role.headAddress());
            case ControllerAction.SendRelease release ->
                new EngineOrder.Release(release.orderId(), release.epoch(), tables.failureDomain(), release.group());
        };
    }

    private ImmutableList<EngineOrder.MemberAddress> members(Group group) {
        return group.members().stream()
                .map(member -> new EngineOrder.MemberAddress(
                        member.vm(),
                        tables.vms()
                                .vm(member.vm())
                                .map(vm -> vm.engineAddress())
                                .orElse("")))
                .collect(ImmutableList.toImmutableList());
    }
}
